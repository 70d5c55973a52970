package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"acaciavane/core"
	"acaciavane/io/caller"
)

func newQueryCommand(stdout io.Writer) *cobra.Command {
	var options queryOptions
	command := &cobra.Command{
		Use:   "query",
		Short: "Send a request as a caller",
		Long: `query sends one request to an entry instance and prints its answer. With
--order it gets a ticket first and prints it, so that the order can be sent
again under the same ticket.

` + exitCodesHelp,
		Example: `  acaciavane query --collection talker-desk --kind price-lookup --body oats
  acaciavane query --collection route-board --kind talker-order --order --key shelf-17 --json`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := options.validate(); err != nil {
				return err
			}
			return query(command.Context(), stdout, options)
		},
	}
	options.bind(command)
	return command
}

func query(ctx context.Context, stdout io.Writer, options queryOptions) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout(options.timeout))
	defer cancel()
	client := caller.NewClient(options.address)
	defer client.Close()
	answer, err := send(ctx, client, options)
	if errors.Is(err, caller.ErrNoAnswer) {
		return &exitError{code: ExitUnknown, message: err.Error()}
	}
	if err != nil {
		return err
	}
	if err := printAnswer(stdout, answer, options.json); err != nil {
		return err
	}
	return exitErrorFor(answer)
}

// answerTimeout returns how long the command waits for an answer: twice the time within which the
// instance answers, so that the answer has time to arrive. Without a timeout, that is the longest
// one that a request kind may have.
func answerTimeout(timeout time.Duration) time.Duration {
	if timeout == 0 {
		timeout = core.MaxTimeoutMillis.Duration()
	}
	return 2 * timeout
}

// send sends the query or the order. An order without a ticket gets a new one.
func send(ctx context.Context, client *caller.Client, options queryOptions) (caller.AnswerBody, error) {
	request := caller.RequestBody{
		RequestID:      options.requestID,
		Collection:     options.collection,
		Kind:           options.kind,
		Key:            options.key,
		Body:           options.body,
		SchemaVersions: options.schemaVersions,
		TimeoutMillis:  options.timeout.Milliseconds(),
		Ticket:         options.ticket,
	}
	if !options.order {
		return client.Query(ctx, request)
	}
	if request.Ticket == "" {
		ticket, err := client.MintTicket(ctx)
		if err != nil {
			return caller.AnswerBody{}, fmt.Errorf("get a ticket: %w", err)
		}
		request.Ticket = ticket.Ticket
	}
	answer, err := client.Order(ctx, request)
	if err != nil {
		return answer, fmt.Errorf("retry with --ticket %s: %w", request.Ticket, err)
	}
	return answer, nil
}

func printAnswer(stdout io.Writer, answer caller.AnswerBody, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	_, _ = fmt.Fprintf(stdout, "%s by %s in %d ms", answer.Outcome, answer.Instance, answer.ElapsedMillis)
	if answer.Reason != "" {
		_, _ = fmt.Fprintf(stdout, ": %s: %s", answer.Reason, answer.Detail)
	}
	if answer.Coverage != nil {
		_, _ = fmt.Fprintf(stdout, ": snapshot %d, coverage %.4f, %d records, %d attempts for %d shards",
			answer.Snapshot, answer.Coverage.Fraction, len(answer.Records), answer.Attempts, answer.Shards)
	}
	if answer.Result != "" {
		_, _ = fmt.Fprintf(stdout, ": %s", answer.Result)
	}
	_, _ = fmt.Fprintln(stdout)
	for _, record := range answer.Records {
		_, _ = fmt.Fprintf(stdout, "%s\tv%d\t%s\n", record.Key, record.SchemaVersion, record.Value)
	}
	return nil
}

// exitErrorFor returns the exit error for the outcome of an answer, or nil if the answer
// is complete.
func exitErrorFor(answer caller.AnswerBody) error {
	switch core.Outcome(answer.Outcome) {
	case core.OutcomeAnswered:
		if answer.Coverage != nil && answer.Coverage.Covered < answer.Coverage.Total {
			return &exitError{code: ExitPartial}
		}
		return nil
	case core.OutcomeNotRun:
		return &exitError{code: ExitNotRun}
	}
	return &exitError{code: ExitUnknown}
}
