package node

import (
	"github.com/samber/do/v2"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/tlsconf"
)

func (n *Node) provideTLS(do.Injector) (*tlsconf.Config, error) {
	return tlsconf.Load(n.settings.TLS)
}

func (n *Node) provideDialer(i do.Injector) (*peers.Dialer, error) {
	tlsConfig, err := do.Invoke[*tlsconf.Config](i)
	if err != nil {
		return nil, err
	}
	return peers.NewDialer(tlsConfig.PeerClient(), n.peerOptions...), nil
}

// provideClient returns the client for upstreams.
func (n *Node) provideClient(i do.Injector) (*dispatch.Client, error) {
	tlsConfig, err := do.Invoke[*tlsconf.Config](i)
	if err != nil {
		return nil, err
	}
	return dispatch.NewClientWith(dispatch.Options{TLS: tlsConfig.Upstream()}), nil
}

// peerCredentials returns the credentials of the listener for other nodes.
func peerCredentials(tlsConfig *tlsconf.Config) credentials.TransportCredentials {
	if creds := tlsConfig.PeerServer(); creds != nil {
		return creds
	}
	return insecure.NewCredentials()
}
