package fleetnode

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/forward"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/tunnel"
)

func (e *Entry) provideTunnelDialer(do.Injector) (*tunnel.Dialer, error) {
	return tunnel.NewDialer(tunnel.DialerOptions{
		NodeID: e.opts.NodeID, FailureDomain: e.opts.FailureDomain, DialUpstream: tunnel.DialFunc(e.opts.DialUpstream),
		OnChange: e.pathChanged, Metrics: e.opts.Metrics, Log: e.opts.Log,
	}), nil
}

// pathChanged is called when the direct path to upstreams went down or came up.
func (e *Entry) pathChanged(reachable bool) {
	if !reachable {
		go do.MustInvoke[*forward.Entry](e.injector).ForgiveFailures()
	}
	do.MustInvoke[*attach.Attachment](e.injector).ReportNow()
}

func (e *Entry) provideTunnelServer(i do.Injector) (*tunnel.Server, error) {
	return tunnel.NewServer(tunnel.ServerOptions{
		Known: func(address string) bool {
			view := do.MustInvoke[*attach.Attachment](e.injector).View()
			return slices.ContainsFunc(view.Targets, func(t attach.Target) bool { return t.Address == address })
		},
		Dialer: do.MustInvoke[*tunnel.Dialer](i), Metrics: e.opts.Metrics, Log: e.opts.Log,
	}), nil
}

func (e *Entry) provideClient(i do.Injector) (*dispatch.Client, error) {
	dialer := do.MustInvoke[*tunnel.Dialer](i)
	return dispatch.NewClientWith(dispatch.Options{Protocol: e.opts.Protocol, Dial: dialer.Dial, Usable: dialer.Usable}), nil
}

// serveTunnels serves tunnels of other entries until the process ends: a planned stop waits for them.
func (e *Entry) serveTunnels(workers *workerGroup) error {
	if e.opts.PeerAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", e.opts.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for other entries on %s: %w; free the address or correct the settings", e.opts.PeerAddress, err)
	}
	server := do.MustInvoke[*tunnel.Server](e.injector)
	workers.start(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			e.opts.Log.Error().Err(err).Msg("tunnels_not_served")
		}
	})
	return nil
}

// setPeers sets the entries that open tunnels for this one.
func (e *Entry) setPeers(peers []*peerpb.TunnelPeer) {
	do.MustInvoke[*tunnel.Dialer](e.injector).SetPeers(lo.Map(peers, func(p *peerpb.TunnelPeer, _ int) tunnel.Peer {
		return tunnel.Peer{
			NodeID: p.GetNodeId(), Address: p.GetAddress(), FailureDomain: p.GetFailureDomain(), Key: string(p.GetKey()), Reachable: p.GetReachable(),
		}
	}))
}

// report fills in the report to a keeper.
func (e *Entry) report(now time.Time, primary bool, sent *attach.Sent, r *peerpb.EntryReport) {
	do.MustInvoke[*forward.Entry](e.injector).Report(now, primary, sent, r)
	if e.opts.PeerAddress == "" {
		return
	}
	server := do.MustInvoke[*tunnel.Server](e.injector)
	peer := &peerpb.TunnelPeer{
		NodeId: e.opts.NodeID, FailureDomain: e.opts.FailureDomain, Address: e.opts.PeerAddress, Key: []byte(server.Key()),
		Reachable: !server.Stopping() && do.MustInvoke[*tunnel.Dialer](e.injector).Reachable(),
	}
	if !proto.Equal(peer, sent.Tunnel) {
		r.Tunnel, sent.Tunnel = peer, peer
	}
}
