package peer

import (
	"context"
	"fmt"
	"net/http"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"acaciavane/core"
	"acaciavane/io/peer/peerpb"
)

// headerReceived is the response header by which an instance confirms, before it answers, that it
// has received a delegated request.
const headerReceived = "acaciavane-received"

// receivedKey is the context key of the function that is called when headerReceived arrives.
type receivedKey struct{}

// notifyReceived calls the function that the context of a call holds, if the event is the arrival
// of headerReceived.
func notifyReceived(ctx context.Context, event *stats.InHeader) {
	received, ok := ctx.Value(receivedKey{}).(func())
	if ok && event.Client && len(event.Header.Get(headerReceived)) > 0 {
		received()
	}
}

// Confirms implements core.DelegateClient. Instances of earlier versions do not confirm requests.
func (c *Client) Confirms(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirming.Has(address)
}

// Delegate implements core.DelegateClient.
func (c *Client) Delegate(ctx context.Context, address string, request core.DelegatedRequest, received func()) (core.DelegatedAnswer, error) {
	ctx = context.WithValue(ctx, receivedKey{}, func() {
		c.mu.Lock()
		c.confirming.Add(address)
		c.mu.Unlock()
		received()
	})
	peer, err := c.stub(address)
	if err != nil {
		return core.DelegatedAnswer{}, fmt.Errorf("%w: %w", core.ErrNotDelivered, err)
	}
	// gRPC sets the address only if the call was assigned to a connection.
	var reached grpcpeer.Peer
	wire, err := peer.Delegate(ctx, toRoutedRequest(request), grpc.Peer(&reached))
	if err != nil {
		if reached.Addr == nil || refusedCall(err) {
			return core.DelegatedAnswer{}, fmt.Errorf("%w: delegate to %s: %w", core.ErrNotDelivered, address, err)
		}
		return core.DelegatedAnswer{}, fmt.Errorf("delegate to %s: %w", address, err)
	}
	return fromRoutedAnswer(wire)
}

// refusedCall reports whether the error means that the peer refused the call before it did any
// work for it.
func refusedCall(err error) bool {
	switch status.Code(err) {
	case codes.FailedPrecondition, codes.InvalidArgument, codes.Unimplemented:
		return true
	}
	return false
}

// Delegate implements peerpb.PeerServer.
func (s *Server) Delegate(ctx context.Context, wire *peerpb.RoutedRequest) (*peerpb.RoutedAnswer, error) {
	request, err := fromRoutedRequest(wire)
	if err != nil {
		return nil, s.malformed(err)
	}
	if err := grpc.SendHeader(ctx, metadata.Pairs(headerReceived, "1")); err != nil {
		return nil, fmt.Errorf("confirm request: %w", err)
	}
	return toRoutedAnswer(s.handler.AnswerDelegated(ctx, request)), nil
}

func toRoutedRequest(delegated core.DelegatedRequest) *peerpb.RoutedRequest {
	request := delegated.Request
	return &peerpb.RoutedRequest{
		Id:                   []byte(request.ID),
		Method:               request.Message.Method,
		Host:                 []byte(request.Message.Host),
		Target:               []byte(request.Message.Target),
		Fields:               toFields(request.Message.Fields),
		Body:                 request.Message.Body,
		ConfigurationVersion: delegated.ConfigurationVersion,
		Configuration:        delegated.Configuration,
		ElapsedMillis:        int64(delegated.Elapsed),
		LeftMillis:           int64(delegated.Remaining),
	}
}

func fromRoutedRequest(wire *peerpb.RoutedRequest) (core.DelegatedRequest, error) {
	if len(wire.GetId()) == 0 || wire.GetMethod() == "" || len(wire.GetTarget()) == 0 || wire.GetLeftMillis() <= 0 || wire.GetElapsedMillis() < 0 {
		return core.DelegatedRequest{}, ErrMalformed
	}
	return core.DelegatedRequest{
		Request: core.RoutedRequest{
			ID: string(wire.GetId()),
			Message: core.Message{
				Method: wire.GetMethod(),
				Host:   string(wire.GetHost()),
				Target: string(wire.GetTarget()),
				Fields: fromFields(wire.GetFields()),
				Body:   wire.GetBody(),
			},
		},
		ConfigurationVersion: wire.GetConfigurationVersion(),
		Configuration:        wire.GetConfiguration(),
		Elapsed:              core.Millis(wire.GetElapsedMillis()),
		Remaining:            core.Millis(wire.GetLeftMillis()),
	}, nil
}

func toRoutedAnswer(delegated core.DelegatedAnswer) *peerpb.RoutedAnswer {
	answer := delegated.Answer
	wire := &peerpb.RoutedAnswer{
		Outcome:              string(answer.Outcome),
		Reason:               string(answer.Reason),
		Detail:               answer.Detail,
		ConfigurationVersion: answer.ConfigurationVersion,
		Configuration:        delegated.Configuration,
		Route:                answer.Route,
		Service:              answer.Service,
		Shards:               answer.MissingShards,
		RetryAfterMillis:     int64(answer.RetryAfter),
		MoveOn:               answer.CloseConnection,
		Attempts:             uint32(answer.Attempts),
	}
	if reply, ok := answer.Reply.Get(); ok {
		wire.Reply = &peerpb.RoutedReply{Status: uint32(reply.Status), Fields: toFields(reply.Fields), Body: reply.Body}
	}
	if merged, ok := answer.Merged.Get(); ok {
		wire.Merged = &peerpb.MergedReply{Missing: uint32(merged.Missing), Records: merged.Records}
		for _, signature := range merged.Signatures {
			wire.Merged.Signatures = append(wire.Merged.Signatures, []byte(signature))
		}
	}
	return wire
}

func fromRoutedAnswer(wire *peerpb.RoutedAnswer) (core.DelegatedAnswer, error) {
	answer := core.RoutedAnswer{
		Outcome:              core.Outcome(wire.GetOutcome()),
		Reason:               core.Reason(wire.GetReason()),
		Detail:               wire.GetDetail(),
		ConfigurationVersion: wire.GetConfigurationVersion(),
		Route:                wire.GetRoute(),
		Service:              wire.GetService(),
		MissingShards:        wire.GetShards(),
		RetryAfter:           max(0, core.Millis(wire.GetRetryAfterMillis())),
		CloseConnection:      wire.GetMoveOn(),
		Attempts:             int(wire.GetAttempts()),
	}
	switch {
	case wire.GetReply() != nil:
		reply := wire.GetReply()
		if status := int(reply.GetStatus()); !core.ValidStatus(status) || status < http.StatusOK {
			return core.DelegatedAnswer{}, ErrMalformed
		}
		answer.Reply = core.Some(core.RoutedReply{
			Status: int(reply.GetStatus()), Fields: fromFields(reply.GetFields()), Body: reply.GetBody(),
		})
	case wire.GetMerged() != nil:
		merged := core.MergedReply{Missing: int(wire.GetMerged().GetMissing()), Records: wire.GetMerged().GetRecords()}
		for _, signature := range wire.GetMerged().GetSignatures() {
			merged.Signatures = append(merged.Signatures, string(signature))
		}
		answer.Merged = core.Some(merged)
	}
	answered := wire.GetReply() != nil || wire.GetMerged() != nil
	switch answer.Outcome {
	case core.OutcomeAnswered:
		if !answered {
			return core.DelegatedAnswer{}, ErrMalformed
		}
	case core.OutcomeNotRun, core.OutcomeUnknown:
		if answered {
			return core.DelegatedAnswer{}, ErrMalformed
		}
	default:
		return core.DelegatedAnswer{}, ErrMalformed
	}
	return core.DelegatedAnswer{Answer: answer, Configuration: wire.GetConfiguration()}, nil
}

func toFields(fields []core.Field) []*peerpb.Field {
	wire := make([]*peerpb.Field, len(fields))
	for i, field := range fields {
		wire[i] = &peerpb.Field{Name: field.Name, Value: []byte(field.Value)}
	}
	return wire
}

func fromFields(wire []*peerpb.Field) []core.Field {
	fields := make([]core.Field, len(wire))
	for i, field := range wire {
		fields[i] = core.Field{Name: field.GetName(), Value: string(field.GetValue())}
	}
	return fields
}
