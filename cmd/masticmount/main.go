// Command masticmount is the operators' command line.
package main

import (
	"os"

	"github.com/masticmount/masticmount/pkg/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
