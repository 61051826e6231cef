// Command masticmountd runs one node of masticmount.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/masticmount/masticmount/pkg/logging"
	"github.com/masticmount/masticmount/pkg/node"
	"github.com/masticmount/masticmount/pkg/settings"
)

type arguments struct {
	Settings      string   `arg:"positional,required" help:"path of the TOML settings file"`
	CheckSettings bool     `arg:"--check-settings" help:"check the settings and exit"`
	ForceQuorum   bool     `arg:"--force-new-quorum" help:"make this stopped keeper the only voter of the region log and exit, unless a quorum could still exist; loses what only other keepers accepted"`
	Gone          []string `arg:"--gone,separate" help:"with --force-new-quorum: nodes whose disks do not exist any more"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	s, err := settings.Load(args.Settings)
	if err != nil || args.CheckSettings {
		return err
	}
	if args.ForceQuorum {
		return node.ForceNewQuorum(context.Background(), s, args.Gone)
	}
	log, err := logging.New(os.Stderr, s.Log.Level, s.Node.ID)
	if err != nil {
		return err
	}
	n := node.New(s, log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return n.Run(ctx)
}
