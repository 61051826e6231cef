// Command mastic-cuts runs a region in one process and injects network partitions
// between its failure domains.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alexflint/go-arg"

	"github.com/masticmount/masticmount/internal/demo"
)

type arguments struct {
	Port int `arg:"--port,env:MASTICMOUNT_DEMO_PORT" default:"18000" help:"first of 600 ports"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	failed, err := run(args.Port)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if failed > 0 {
		fmt.Printf("%d steps failed\n", failed)
		os.Exit(1)
	}
}

func run(port int) (failed int, err error) {
	folder, err := os.MkdirTemp("", "mastic-cuts-")
	if err != nil {
		return 0, err
	}
	log, err := os.Create(filepath.Join(folder, "nodes.log"))
	if err != nil {
		return 0, err
	}
	region, err := demo.StartRegion(context.Background(), port, folder, log)
	if err != nil {
		return 0, err
	}
	failed = demo.Run(region.PartitionSteps(), os.Stdout)
	if failed > 0 {
		fmt.Println("the logs are kept in", folder)
		return failed, nil
	}
	return 0, os.RemoveAll(folder)
}
