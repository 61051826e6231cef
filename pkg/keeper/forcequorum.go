package keeper

import (
	"context"
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog/storage"
)

// askTimeout limits the wait for the answer of a voter before a quorum is forced.
const askTimeout = 3 * time.Second

// ForcedQuorum asks for a new quorum of a single keeper after a majority of the voters' disks
// was lost. The keeper must not be running.
type ForcedQuorum struct {
	// Folder and NodeID are those of the keeper whose disk is furthest on.
	Folder, NodeID string
	// Gone are the nodes of unreachable voters whose disks do not exist any more, as the
	// operator states.
	Gone   []string
	Dialer Dialer
}

// Run makes the keeper the only voter and permanently removes every other identity. Entries
// that are not on its disk are lost, even if other keepers accepted them. It is refused while
// a majority could still form; the error names the keepers and the remedy.
func (f ForcedQuorum) Run(ctx context.Context) error {
	membership, identity, err := storage.ReadMembership(f.Folder, f.NodeID)
	if err != nil {
		return err
	}
	var others voterStates
	for _, m := range membership.GetMembers() {
		if m.GetIdentity() == identity {
			continue
		}
		others.add(m, f.ask(ctx, m))
	}
	if err := others.refuseForcedQuorum(f.Gone); err != nil {
		return err
	}
	return storage.ForceNewQuorum(f.Folder, f.NodeID)
}

// ask returns the answer of a member, or nil.
func (f ForcedQuorum) ask(ctx context.Context, m *peerpb.Member) *peerpb.IntroduceResponse {
	conn, err := f.Dialer.Dial(m.GetAddress())
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := peerpb.NewRegionLogClient(conn).Introduce(ctx, &peerpb.IntroduceRequest{NodeId: f.NodeID})
	if err != nil {
		return nil
	}
	return answer
}
