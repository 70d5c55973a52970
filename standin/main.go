// Command standin runs the stand-ins for the outside systems, in the tests, the
// demo and the measurements: the platform, upstreams, and a relay that cuts.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for outside systems", SilenceUsage: true}
	root.AddCommand(platformCommand(), upstreamCommand(), relayCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
