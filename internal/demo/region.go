package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gofiber/fiber/v3"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/fakes"
	"github.com/masticmount/masticmount/pkg/logging"
	"github.com/masticmount/masticmount/pkg/node"
	"github.com/masticmount/masticmount/pkg/settings"
)

const (
	regionDomains    = 3
	nodesPerDomain   = 3
	enginesPerDomain = 20
	enginesPerFabric = 10
	operatorToken    = "operator-region"
	announcerToken   = "announcer-region"
	callerToken      = "caller-region"
	// startTimeout bounds the wait until the first node accepts configuration.
	startTimeout = 20 * time.Second
)

// Region is a system in one process whose failure domains can be partitioned. Nodes
// communicate over loopback connections, as separate processes do.
type Region struct {
	*Demo
	links *links
}

// StartRegion starts and configures three failure domains of three nodes each, with
// fake upstreams. It uses ports from firstPort on and keeps files below folder.
func StartRegion(ctx context.Context, firstPort int, folder string, log io.Writer) (*Region, error) {
	r := &Region{links: newLinks()}
	all := r.peers(firstPort)
	opts := Options{OperatorToken: operatorToken, CallerToken: callerToken}
	for i := range all {
		s := nodeSettings(all, i, firstPort, folder)
		logger, err := logging.New(log, "warn", s.Node.ID)
		if err != nil {
			return nil, err
		}
		dialer := grpc.WithContextDialer(r.links.dial(s.Node.FailureDomain))
		n := node.New(s, logger, node.WithPeerOptions(dialer))
		go func() {
			if err := n.Run(ctx); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}()
		opts.Callers = append(opts.Callers, s.Listen.Callers)
		opts.Admins = append(opts.Admins, s.Listen.Admin)
	}
	for d := range regionDomains {
		entries := opts.Admins[d*nodesPerDomain : (d+1)*nodesPerDomain]
		service, err := startFakes(ctx, domainName(d), firstPort+200+d*100, entries)
		if err != nil {
			return nil, err
		}
		opts.Services = append(opts.Services, service)
	}
	var err error
	if r.Demo, err = New(opts); err != nil {
		return nil, err
	}
	return r, r.configure()
}

func domainName(d int) string { return "fd-" + string(rune('a'+d)) }

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (r *Region) peers(firstPort int) []settings.Peer {
	var all []settings.Peer
	for i := range regionDomains * nodesPerDomain {
		p := settings.Peer{
			ID: fmt.Sprintf("n%d", i), FailureDomain: domainName(i / nodesPerDomain),
			Address: address(firstPort + i*10 + 2), Keeper: i%nodesPerDomain == 0,
		}
		r.links.domainOf[p.Address] = p.FailureDomain
		all = append(all, p)
	}
	return all
}

func nodeSettings(all []settings.Peer, i, firstPort int, folder string) settings.Settings {
	s := settings.Default()
	p := all[i]
	s.Node = settings.Node{
		ID: p.ID, Region: "demo", FailureDomain: p.FailureDomain, Roles: []settings.Role{settings.RoleEntry},
		DataFolder: filepath.Join(folder, p.ID),
	}
	if p.Keeper {
		s.Node.Roles = append(s.Node.Roles, settings.RoleKeeper)
	}
	base := firstPort + i*10
	s.Listen = settings.Listen{Callers: address(base), Admin: address(base + 1), Peers: p.Address}
	s.Tokens = settings.Tokens{
		OperatorsSHA256: []string{digestOf(operatorToken)}, AnnouncersSHA256: []string{digestOf(announcerToken)},
	}
	s.Stop.BalancerWait = 0
	s.Peers = all
	return s
}

// startFakes starts the engines and the plain service of a domain and returns the
// address of the service.
func startFakes(ctx context.Context, domain string, firstPort int, entries []string) (service string, err error) {
	announcer := func(i int) *fakes.Announcer {
		return &fakes.Announcer{Entries: entries, Token: announcerToken, First: i}
	}
	for i := range enginesPerDomain {
		a := announcement(domain, i, firstPort)
		e := fakes.NewEngine(fakes.EngineOptions{Describe: a, Slots: 8, TokenInterval: 5 * time.Millisecond, LoadLag: 1})
		if err := serveFake(e.App(), a.Address); err != nil {
			return "", err
		}
		go announcer(i).Run(ctx, e.Describe)
	}
	a := announcement(domain, enginesPerDomain, firstPort)
	a.Kind, a.Service, a.Labels, a.Accelerators = api.UpstreamService, "licence-desk", map[string]string{"pool": "desk"}, 0
	d := fakes.NewService(a)
	if err := serveFake(d.App(), a.Address); err != nil {
		return "", err
	}
	go announcer(0).Run(ctx, d.Describe)
	return a.Address, nil
}

func announcement(domain string, i, firstPort int) api.Announcement {
	return api.Announcement{
		ID: fmt.Sprintf("%s-e%02d", domain, i), Address: address(firstPort + i), FailureDomain: domain,
		FabricDomain: fmt.Sprintf("%s-fabric-%d", domain, i/enginesPerFabric), Kind: api.UpstreamEngine,
		Service: "captioner", Labels: map[string]string{"pool": "captions"}, Accelerators: 4,
		Incarnation: uint64(time.Now().UnixNano()), HonoursFencing: i%2 == 0,
	}
}

func serveFake(app *fiber.App, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for a fake upstream: %w", err)
	}
	go func() {
		_ = app.Listener(disconnect.WrapListener(listener), fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return nil
}

// configure applies the demo's configuration through the first node.
func (r *Region) configure() error {
	objects := []struct {
		kind api.Kind
		name string
		spec any
	}{
		{api.KindAccount, "school", api.AccountSpec{TokenSHA256: []string{digestOf(callerToken)}, Worth: 1}},
		{api.KindGroup, "captions", api.GroupSpec{
			Service: "captioner", Selector: "pool=captions", VMs: 4, Count: groupsPerDomain, Labels: map[string]string{"use": "captions"},
		}},
		{api.KindGroup, "desk", api.GroupSpec{
			Service: "licence-desk", Selector: "pool=desk", VMs: 1, Labels: map[string]string{"use": "desk"},
		}},
		{api.KindRoute, "captions", api.RouteSpec{Path: "/v1/", Requests: "model=captioner", Groups: "use=captions", Class: "caption"}},
		{api.KindRoute, "grants", api.RouteSpec{Path: "/grants", Groups: "use=desk", NonIdempotent: true, Class: "grant"}},
		{api.KindRoute, "lookups", api.RouteSpec{Path: "/lookup", Groups: "use=desk", Class: "lookup"}},
	}
	for _, o := range objects {
		spec, err := json.Marshal(o.spec)
		if err != nil {
			return fmt.Errorf("encode %s %s: %w", o.kind, o.name, err)
		}
		if _, err := waitFor(startTimeout, func() error {
			_, err := r.admins[0].Apply(o.kind, o.name, admin.Change{ChangeID: "region-" + string(o.kind) + o.name, Spec: spec})
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}
