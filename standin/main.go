// Command standin runs stand-ins for external systems in the tests, the demo and the
// benchmarks: the platform, upstreams, and a relay that simulates network partitions.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "standin", Short: "Simulate external systems", SilenceUsage: true}
	root.AddCommand(platformCommand(), upstreamCommand(), relayCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
