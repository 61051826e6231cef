package cli

import (
	"context"
	"sync"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// memoryKeepers is an in-memory region log for the golden sessions.
type memoryKeepers struct {
	mu     sync.Mutex
	status *peerpb.LogStatus
}

func newMemoryKeepers() *memoryKeepers {
	return &memoryKeepers{status: &peerpb.LogStatus{
		NodeId: "a1", Term: 4, Leader: 0xb1, Commit: 70,
		Membership: &peerpb.Membership{Members: []*peerpb.Member{
			{Identity: 0xb1, NodeId: "b1", Address: "127.0.0.1:18022"},
			{Identity: 0xa1, NodeId: "a1", Address: "127.0.0.1:18002"},
		}},
		Match:   map[uint64]uint64{0xa1: 70, 0xb1: 70},
		Answers: map[uint64]bool{0xa1: true, 0xb1: true},
	}}
}

func (k *memoryKeepers) KeeperStatus(context.Context) (*peerpb.LogStatus, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status, nil
}

func (k *memoryKeepers) ChangeKeepers(_ context.Context, change *peerpb.MembershipChange) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if change.GetAction() != peerpb.MembershipChange_ACTION_ADD_LEARNER {
		return fault.New(fault.NoQuorum, "restore the other keepers first", "too few voters answer")
	}
	k.status.Membership.Members = append(k.status.Membership.Members, &peerpb.Member{
		Identity: 0xc1, NodeId: change.GetNodeId(), Address: change.GetAddress(), Learner: true,
	})
	return nil
}
