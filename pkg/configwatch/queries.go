package configwatch

import (
	"context"
	"sync"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// maxParallelQueries limits the number of concurrent requests of one query.
const maxParallelQueries = 64

// NodeRevision is the revision that one node has in force.
type NodeRevision struct {
	Peer Peer
	// InForce is 0 if the node was not reached.
	InForce uint64
	Reached bool
}

// QueryRevisions queries all nodes of the region for the revision that they have in force.
func (w *Watcher) QueryRevisions(ctx context.Context) []NodeRevision {
	answers := queryAll(ctx, w.opts.Peers, false)
	return lo.Map(w.opts.Peers, func(p Peer, i int) NodeRevision {
		return NodeRevision{Peer: p, InForce: answers[i].GetInForce(), Reached: answers[i] != nil}
	})
}

// queryHeld returns the answers of the reachable peers.
func (w *Watcher) queryHeld(ctx context.Context, peers []Peer) []heldRevision {
	var out []heldRevision
	for i, answer := range queryAll(ctx, peers, true) {
		if answer != nil {
			out = append(out, heldRevision{peer: peers[i].ID, confirmed: answer.GetConfirmed(), revision: answer.GetHeld()})
		}
	}
	return out
}

// queryAll queries all peers for the revisions that they hold. The answers are in the
// order of the peers; the answer of an unreachable peer is nil.
func queryAll(ctx context.Context, peers []Peer, confirm bool) []*peerpb.HeldResponse {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answers := make([]*peerpb.HeldResponse, len(peers))
	slots := make(chan struct{}, maxParallelQueries)
	var queries sync.WaitGroup
	for i, p := range peers {
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			if answer, err := peerpb.NewFeedClient(p.Conn).Held(ctx, &peerpb.HeldRequest{Confirm: confirm}); err == nil {
				answers[i] = answer
			}
		})
	}
	queries.Wait()
	return answers
}
