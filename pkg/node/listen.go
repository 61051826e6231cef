package node

import (
	"errors"
	"fmt"
	"net"

	"github.com/masticmount/masticmount/pkg/settings"
)

// listeners are the open sockets of a node.
type listeners struct{ peers, callers, operators net.Listener }

// openListeners opens either all sockets or none: a node does not start with only a
// part of its listeners.
func openListeners(s settings.Listen) (listeners, error) {
	var open []net.Listener
	var errs []error
	listen := func(key, address string) net.Listener {
		l, err := net.Listen("tcp", address)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen.%s = %q: %w; free the address or configure another one", key, address, err))
			return nil
		}
		open = append(open, l)
		return l
	}
	all := listeners{
		peers:     listen("peers", s.Peers),
		callers:   listen("callers", s.Callers),
		operators: listen("admin", s.Admin),
	}
	if len(errs) == 0 {
		return all, nil
	}
	for _, l := range open {
		_ = l.Close()
	}
	return listeners{}, errors.Join(errs...)
}
