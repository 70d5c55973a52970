// Command acaciavane runs and operates a query tier over many shards.
package main

import (
	"os"

	"acaciavane/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
