package keeper

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// unheardTicks is the time without a message, two heartbeat intervals, after which the
	// connections between two keepers are checked.
	unheardTicks = 2 * heartbeatTicks
	// checkTicks is the least time between two checks of a connection.
	checkTicks = electionTicks
	// checkTimeout is the time without an answer after which another connection is tried. With
	// unheardTicks and a heartbeat interval it is within an election timeout, so that a leader
	// whose connections went silent can still lead on.
	checkTimeout = 150 * time.Millisecond
	// renewTimeout limits the try of another connection.
	renewTimeout = 850 * time.Millisecond
)

// checkSchedule limits how often connections are checked: it holds the tick of the last check
// by identity.
type checkSchedule map[uint64]uint64

// due returns the identities to check now, out of those that were not heard.
func (s checkSchedule) due(tick uint64, unheard []uint64) []uint64 {
	var due []uint64
	for _, id := range unheard {
		if last, ok := s[id]; !ok || tick >= last+checkTicks {
			s[id] = tick
			due = append(due, id)
		}
	}
	return due
}

// checkConnections checks the connections to keepers from which no message came, and has
// them check theirs to this keeper. A connection may go silent for good while new ones work;
// its keepalive needs far longer than an election timeout.
func (t *transport) checkConnections(identities []uint64) {
	for _, id := range identities {
		t.checkConnection(id, true)
	}
}

// checkConnection checks a connection in the background, unless a check is in progress.
func (t *transport) checkConnection(identity uint64, unheard bool) {
	l, address := t.link(identity), t.address(identity)
	if l == nil {
		return
	}
	t.start(func() {
		if !l.checking.TryLock() {
			return
		}
		defer l.checking.Unlock()
		request := &peerpb.IntroduceRequest{NodeId: t.keeper.opts.NodeID, Identity: t.keeper.store.Identity(), Unheard: unheard}
		if _, renewed, _ := t.keeper.ask(t.ctx, address, request); !renewed {
			return
		}
		select {
		case l.renewed <- struct{}{}:
		default:
		}
	})
}

// errConnectionAnswers keeps a connection that was only slow.
var errConnectionAnswers = errors.New("the connection answers")

// introduction is the outcome of one Introduce call.
type introduction struct {
	answer *peerpb.IntroduceResponse
	err    error
}

// ask asks the keeper at an address who it is. Without an answer after checkTimeout it asks on
// another connection too, and replaces the present one if only the other one answers.
func (k *Keeper) ask(ctx context.Context, address string, request *peerpb.IntroduceRequest) (answer *peerpb.IntroduceResponse, renewed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout+renewTimeout)
	defer cancel()
	conn, err := k.opts.Dialer.Dial(address)
	if err != nil {
		return nil, false, err
	}
	present := make(chan introduction, 1)
	go func() {
		answer, err := peerpb.NewRegionLogClient(conn).Introduce(ctx, request)
		present <- introduction{answer, err}
	}()
	timer := time.NewTimer(checkTimeout)
	defer timer.Stop()
	select {
	case p := <-present:
		return p.answer, false, p.err
	case <-timer.C:
	}
	err = k.opts.Dialer.Renew(address, func(conn *grpc.ClientConn) (err error) {
		if answer, err = peerpb.NewRegionLogClient(conn).Introduce(ctx, request); err != nil {
			return err
		}
		if len(present) > 0 {
			return errConnectionAnswers
		}
		return nil
	})
	if err != nil {
		p := <-present
		return p.answer, false, p.err
	}
	k.opts.Log.Warn().Str("address", address).Dur("unanswered_for", checkTimeout).Msg("silent_connection_replaced")
	if k.opts.Metrics != nil {
		k.opts.Metrics.Add("regionlog.silent_connections", 1)
	}
	return answer, true, nil
}
