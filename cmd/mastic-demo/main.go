// Command mastic-demo checks a running system; scripts/demo.sh starts it.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/masticmount/masticmount/internal/demo"
)

type arguments struct {
	Callers       []string `arg:"--callers,required" help:"callers' addresses of the nodes"`
	Admins        []string `arg:"--admins,required" help:"administration addresses of the nodes"`
	Services      []string `arg:"--desks,required" help:"addresses of the fake plain services"`
	PIDFiles      []string `arg:"--pid-files,required" help:"files with the nodes' process identifiers"`
	DataFolders   []string `arg:"--data-folders" help:"data folders of the nodes"`
	Faults        bool     `arg:"--faults" help:"run the faults under load instead of the main job"`
	OperatorToken string   `arg:"--operator-token,env:MASTICMOUNT_TOKEN,required"`
	CallerToken   string   `arg:"--caller-token,env:MASTICMOUNT_CALLER_TOKEN,required"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	d, err := demo.New(demo.Options{
		Callers: args.Callers, Admins: args.Admins, Services: args.Services, PIDFiles: args.PIDFiles, DataFolders: args.DataFolders,
		OperatorToken: args.OperatorToken, CallerToken: args.CallerToken,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	steps := d.MainSteps()
	if args.Faults {
		steps = d.FaultSteps()
	}
	if failed := demo.Run(steps, os.Stdout); failed > 0 {
		fmt.Printf("%d steps failed\n", failed)
		os.Exit(1)
	}
}
