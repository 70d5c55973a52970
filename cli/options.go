package cli

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"acaciavane/platform"
)

// Defaults of the options.
const (
	defaultEntryAddress = "127.0.0.1:7000"
	defaultTimeout      = 30 * time.Second
)

// entryOptions are the options of the entry command.
type entryOptions struct {
	settings string
}

func (o *entryOptions) bind(command *cobra.Command) {
	command.Flags().StringVar(&o.settings, "settings", "", "file with the settings of this instance (default: the file that "+platform.SettingsVariable+" names)")
}

func (o *entryOptions) validate() error {
	if o.settings == "" {
		o.settings = os.Getenv(platform.SettingsVariable)
	}
	if o.settings == "" {
		return usageError("--settings: name the settings file of this instance")
	}
	return nil
}

// dumpOptions are the options of the dump command.
type dumpOptions struct {
	address string
	timeout time.Duration
}

func (o *dumpOptions) bind(command *cobra.Command) {
	command.Flags().DurationVar(&o.timeout, "timeout", defaultTimeout, "how long to wait for the state")
}

func (o *dumpOptions) validate() error {
	if err := validateAddress("ADDRESS", o.address); err != nil {
		return err
	}
	return validateTimeout(o.timeout)
}

// queryOptions are the options of the query command.
type queryOptions struct {
	address        string
	collection     string
	kind           string
	key            string
	body           string
	requestID      string
	ticket         string
	order          bool
	json           bool
	schemaVersions []int
	timeout        time.Duration
}

func (o *queryOptions) bind(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&o.address, "address", defaultEntryAddress, "caller address of an instance or of the balancer")
	flags.StringVar(&o.collection, "collection", "", "collection to ask (required)")
	flags.StringVar(&o.kind, "kind", "", "request kind (required)")
	flags.StringVar(&o.key, "key", "", "key of the record, for fetches and orders")
	flags.StringVar(&o.body, "body", "", "body that is passed on to the upstreams")
	flags.StringVar(&o.requestID, "request-id", "", "identity of the request; one is chosen if empty")
	flags.BoolVar(&o.order, "order", false, "the request may not be repeated: get a ticket, then run it once")
	flags.StringVar(&o.ticket, "ticket", "", "send an order again under the ticket that it was first sent with")
	flags.IntSliceVar(&o.schemaVersions, "schema-versions", nil, "record versions that are understood; all if empty")
	flags.DurationVar(&o.timeout, "timeout", 0, "how long to wait; left to the request kind if zero")
	flags.BoolVar(&o.json, "json", false, "print the answer as JSON")
}

func (o *queryOptions) validate() error {
	if err := validateAddress("--address", o.address); err != nil {
		return err
	}
	switch {
	case o.collection == "":
		return usageError("--collection: name the collection to ask")
	case o.kind == "":
		return usageError("--kind: name the request kind")
	case o.order && o.key == "":
		return usageError("--key: an order needs the key of its record")
	case o.ticket != "" && !o.order:
		return usageError("--ticket: goes with --order")
	case o.timeout < 0:
		return usageError("--timeout: must not be negative")
	}
	return nil
}

func validateAddress(flag, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError(fmt.Sprintf("%s: %q is not an IP number and a port, as in 127.0.0.1:7000", flag, address))
	}
	return nil
}

func validateTimeout(timeout time.Duration) error {
	if timeout <= 0 {
		return usageError("--timeout: must be greater than zero")
	}
	return nil
}
