package storage

import (
	"errors"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
)

// ForceNewQuorum makes the keeper of a data folder the only voter and permanently
// removes every other identity. Entries that are not in this folder are lost, even
// if other keepers accepted them. The keeper must not be running.
func ForceNewQuorum(folder, nodeID string) (err error) {
	s, err := openExisting(folder, nodeID)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := s.Close(); err == nil {
			err = closeErr
		}
	}()
	old, err := s.membership()
	if err != nil {
		return err
	}
	self, ok := regionlog.FindMember(old, s.Identity())
	if !ok {
		return fault.New(fault.InvalidRequest, "use the disk of a keeper that was a member", "identity %x is not a member", s.Identity())
	}
	return s.appendForced(old, self)
}

// ReadMembership returns the last membership in a data folder and the identity of its keeper,
// which must not be running.
func ReadMembership(folder, nodeID string) (membership *peerpb.Membership, identity uint64, err error) {
	s, err := openExisting(folder, nodeID)
	if err != nil {
		return nil, 0, err
	}
	if membership, err = s.membership(); err != nil {
		return nil, 0, errors.Join(err, s.Close())
	}
	return membership, s.Identity(), s.Close()
}

// openExisting opens a data folder that contains a region log.
func openExisting(folder, nodeID string) (*Store, error) {
	if !Exists(folder) {
		return nil, fault.New(fault.NotFound, "use the settings of a keeper whose disk is intact", "%s contains no region log", folder)
	}
	return Open(folder, nodeID, func() uint64 { return 0 })
}

// appendForced commits, on this disk only, a membership with a single voter in a
// term above the highest known to this keeper.
func (s *Store) appendForced(old *peerpb.Membership, self *peerpb.Member) error {
	others := lo.Without(lo.Map(old.GetMembers(), func(m *peerpb.Member, _ int) uint64 { return m.GetIdentity() }), s.Identity())
	forced := &peerpb.Membership{
		Members: []*peerpb.Member{{Identity: self.GetIdentity(), NodeId: self.GetNodeId(), Address: self.GetAddress()}},
		Removed: append(old.GetRemoved(), others...),
	}
	data, err := proto.Marshal(forced)
	if err != nil {
		return err
	}
	index, timeMs := s.stored.Base.Index, s.stored.Base.LeaderTimeMs
	if last, ok := lo.Last(s.stored.Entries); ok {
		index, timeMs = last.GetIndex(), last.GetLeaderTimeMs()
	}
	entry := &peerpb.LogEntry{
		Index: index + 1, Term: s.stored.HardState.GetTerm() + 1,
		Kind: peerpb.EntryKind_ENTRY_KIND_MEMBERSHIP, LeaderTimeMs: timeMs, Data: data,
	}
	return s.Save(&peerpb.HardState{Term: entry.GetTerm(), Commit: entry.GetIndex()}, []*peerpb.LogEntry{entry})
}

// membership returns the last membership in the log.
func (s *Store) membership() (*peerpb.Membership, error) {
	entry, _, ok := lo.FindLastIndexOf(s.stored.Entries, func(e *peerpb.LogEntry) bool {
		return e.GetKind() == peerpb.EntryKind_ENTRY_KIND_MEMBERSHIP
	})
	if !ok {
		return s.stored.Base.Membership, nil
	}
	membership := &peerpb.Membership{}
	if err := proto.Unmarshal(entry.GetData(), membership); err != nil {
		return nil, damaged(s.path(logName(s.sequence)), err.Error())
	}
	return membership, nil
}
