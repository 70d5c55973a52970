package cli

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"acaciavane/platform"
)

// Defaults of the command line options.
const (
	defaultEntryAddress = "127.0.0.1:7000"
	defaultTimeout      = 30 * time.Second
)

// entryOptions are the options of the entry command.
type entryOptions struct {
	settings string
}

func (o *entryOptions) bind(command *cobra.Command) {
	command.Flags().StringVar(&o.settings, "settings", "", "settings file of this instance (default: the file named by "+platform.SettingsVariable+")")
}

func (o *entryOptions) validate() error {
	if o.settings == "" {
		o.settings = os.Getenv(platform.SettingsVariable)
	}
	if o.settings == "" {
		return usageError("--settings: the settings file of this instance is required")
	}
	return nil
}

// checkOptions are the options of the check command.
type checkOptions struct {
	configuration string
	against       string
	json          bool
}

func (o *checkOptions) bind(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&o.configuration, "configuration", "", "configuration to check before it is published")
	flags.StringVar(&o.against, "against", "", "configuration in force, to compare with")
	flags.BoolVar(&o.json, "json", false, "print the result as JSON")
}

func (o *checkOptions) validate(files []string) error {
	switch {
	case o.configuration != "" && len(files) > 0:
		return usageError("--configuration: takes the place of FILE")
	case o.configuration != "":
		return nil
	case o.against != "" || o.json:
		return usageError("--configuration: required with --against and --json")
	case len(files) == 0:
		return usageError("FILE or --configuration: a file to check is required")
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
	flags.StringVar(&o.collection, "collection", "", "collection to query (required)")
	flags.StringVar(&o.kind, "kind", "", "request kind (required)")
	flags.StringVar(&o.key, "key", "", "key of the record, for fetches and orders")
	flags.StringVar(&o.body, "body", "", "request body, passed on to the upstreams unchanged")
	flags.StringVar(&o.requestID, "request-id", "", "ID of the request; generated if empty")
	flags.BoolVar(&o.order, "order", false, "send an order: get a ticket, then run the request at most once")
	flags.StringVar(&o.ticket, "ticket", "", "send the order again under this ticket, with which it was first sent")
	flags.IntSliceVar(&o.schemaVersions, "schema-versions", nil, "schema versions of records to accept; all if empty")
	flags.DurationVar(&o.timeout, "timeout", 0, "how long to wait for the answer; the default of the request kind if zero")
	flags.BoolVar(&o.json, "json", false, "print the answer as JSON")
}

func (o *queryOptions) validate() error {
	if err := validateAddress("--address", o.address); err != nil {
		return err
	}
	switch {
	case o.collection == "":
		return usageError("--collection: the collection to query is required")
	case o.kind == "":
		return usageError("--kind: the request kind is required")
	case o.order && o.key == "":
		return usageError("--key: an order requires the key of its record")
	case o.ticket != "" && !o.order:
		return usageError("--ticket: requires --order")
	case o.timeout < 0:
		return usageError("--timeout: must not be negative")
	}
	return nil
}

// validateAddress checks that the value of the flag is an IP address and a port.
func validateAddress(flag, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError(fmt.Sprintf("%s: %q is not an IP address and a port, as in 127.0.0.1:7000", flag, address))
	}
	return nil
}

func validateTimeout(timeout time.Duration) error {
	if timeout <= 0 {
		return usageError("--timeout: must be greater than zero")
	}
	return nil
}
