// Command mastic-platformd runs one node of masticmount on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/masticmount/masticmount/pkg/logging"
	"github.com/masticmount/masticmount/pkg/mechanism"
	"github.com/masticmount/masticmount/platform"
)

type arguments struct {
	Role          string   `arg:"positional,required" help:"entry or keeper"`
	Settings      string   `arg:"--settings,env:MASTICMOUNT_CONFIG" help:"path of the platform's settings file"`
	CheckSettings bool     `arg:"--check-settings" help:"check the settings and exit"`
	ForceQuorum   bool     `arg:"--force-new-quorum" help:"make this stopped keeper the only voter of the region log and exit, unless a quorum could still exist; loses what only other keepers accepted"`
	Gone          []string `arg:"--gone,separate" help:"with --force-new-quorum: peer addresses of keepers whose disks do not exist any more"`
	LogLevel      string   `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// memoryLimitPercent is the Go runtime's soft memory limit as a share of the VM's memory;
// sockets and the binary need the rest.
const memoryLimitPercent = 60

const megabyte = 1 << 20

func main() {
	// Before anything else: until then these signals end the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var args arguments
	arg.MustParse(&args)
	err := run(ctx, reload, args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// without lists mechanisms to disable; scripts/ablation.sh sets it at link time.
var without string

func run(ctx context.Context, reload <-chan os.Signal, args arguments) error {
	s, err := platform.LoadSettings(args.Settings)
	if err != nil || args.CheckSettings {
		return err
	}
	if args.ForceQuorum {
		return platform.ForceNewQuorum(ctx, s, args.Gone)
	}
	if s.Mechanisms, err = mechanism.Parse(without); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(s.Limits.MemoryMB) * megabyte * memoryLimitPercent / 100)
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log, err := logging.New(out, args.LogLevel, s.Node)
	if err != nil {
		return err
	}
	go func() {
		for range reload {
			// The seeds are reread whenever the file changes; the signal is only logged.
			log.Info().Msg("settings_reloaded")
		}
	}()
	switch args.Role {
	case "entry":
		return platform.RunEntry(ctx, args.Settings, s, log)
	case "keeper":
		return platform.RunKeeper(ctx, s, log)
	default:
		return fmt.Errorf("role %q is not known; use entry or keeper", args.Role)
	}
}
