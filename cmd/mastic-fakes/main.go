// Command mastic-fakes runs the fake engines and plain services of one failure domain.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/gofiber/fiber/v3"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/fakes"
)

type arguments struct {
	FailureDomain string        `arg:"--failure-domain,required"`
	Engines       int           `arg:"--engines" default:"4"`
	PerFabric     int           `arg:"--per-fabric" default:"4" help:"engines in one fabric domain"`
	Services      int           `arg:"--desks" default:"1"`
	BasePort      int           `arg:"--base-port,required" help:"first port; each fake takes the next"`
	Entries       string        `arg:"--entries,required" help:"administration addresses, separated by commas"`
	Token         string        `arg:"--token,env:MASTICMOUNT_ANNOUNCER_TOKEN,required"`
	Slots         int           `arg:"--slots" default:"8"`
	TokenInterval time.Duration `arg:"--token-interval" default:"5ms"`
	KVTokens      int           `arg:"--kv-tokens" default:"65536" help:"capacity of an engine's KV cache"`
	LoadTime      time.Duration `arg:"--load-time" default:"0s" help:"time that an engine takes to load a model"`
	LoadLag       int           `arg:"--load-lag" default:"1" help:"announcements by which the reported load lags"`
	IgnoreFencing bool          `arg:"--ignore-fencing" help:"engines accept orders with an outdated fencing number"`
	AnnounceToAll bool          `arg:"--announce-to-all" help:"announce to every entry instead of one at a time, with failover"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for i := range args.Engines + args.Services {
		start(ctx, args, i)
	}
	<-ctx.Done()
}

func start(ctx context.Context, args arguments, i int) {
	address := fmt.Sprintf("127.0.0.1:%d", args.BasePort+i)
	a := api.Announcement{
		ID: fmt.Sprintf("%s-e%02d", args.FailureDomain, i), Address: address, FailureDomain: args.FailureDomain,
		FabricDomain: fmt.Sprintf("%s-fabric-%d", args.FailureDomain, i/args.PerFabric), Kind: api.UpstreamEngine,
		Service: "captioner", Labels: map[string]string{"pool": "captions"}, Accelerators: 4,
		Incarnation: uint64(time.Now().UnixNano()), HonoursFencing: !args.IgnoreFencing,
	}
	announcer := &fakes.Announcer{Entries: strings.Split(args.Entries, ","), Token: args.Token, All: args.AnnounceToAll, First: i}
	if i < args.Engines {
		e := fakes.NewEngine(fakes.EngineOptions{
			Describe: a, Slots: args.Slots, TokenInterval: args.TokenInterval,
			KVTokens: args.KVTokens, LoadTime: args.LoadTime, LoadLag: args.LoadLag,
		})
		serve(e.App(), address)
		go announcer.Run(ctx, e.Describe)
		return
	}
	a.ID, a.Kind, a.Service, a.Accelerators = fmt.Sprintf("%s-desk%02d", args.FailureDomain, i), api.UpstreamService, "licence-desk", 0
	a.Labels = map[string]string{"pool": "desk"}
	s := fakes.NewService(a)
	serve(s.App(), address)
	go announcer.Run(ctx, s.Describe)
}

func serve(app *fiber.App, address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	go func() {
		if err := app.Listener(disconnect.WrapListener(listener), fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}()
}
