package keeper

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Guards against an operator who is told that a quorum is lost while one could still form, or
// the reverse, and against a forced quorum beside one that could still form.
func TestVoterStatesTellWhetherQuorumCanForm(t *testing.T) {
	voter := &peerpb.Member{Identity: 7, NodeId: "b"}
	same, lost := &peerpb.IntroduceResponse{Identity: 7, NodeId: "b"}, &peerpb.IntroduceResponse{Identity: 8, NodeId: "b"}
	another := &peerpb.IntroduceResponse{Identity: 9, NodeId: "x"}
	for name, c := range map[string]struct {
		answers       []*peerpb.IntroduceResponse
		missing, lost bool
		forced        bool
	}{
		"an election":                 {[]*peerpb.IntroduceResponse{same, nil}, false, false, false},
		"one disk lost":               {[]*peerpb.IntroduceResponse{same, lost}, false, false, false},
		"one lost, one unreachable":   {[]*peerpb.IntroduceResponse{lost, nil}, true, false, false},
		"two unreachable":             {[]*peerpb.IntroduceResponse{nil, nil}, true, false, false},
		"two disks lost":              {[]*peerpb.IntroduceResponse{lost, lost}, true, true, true},
		"another node at the address": {[]*peerpb.IntroduceResponse{lost, another}, true, false, false},
		"five voters, two lost":       {[]*peerpb.IntroduceResponse{same, lost, lost, nil}, true, false, false},
		"five voters, three lost":     {[]*peerpb.IntroduceResponse{same, lost, lost, lost}, true, true, false},
		"the only voter":              {nil, false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			var others voterStates
			for _, answer := range c.answers {
				others.add(voter, answer)
			}
			all := others
			all.voters, all.answering = others.voters+1, others.answering+1
			require.Equal(t, c.missing, all.quorumMissing())
			require.Equal(t, c.lost, all.quorumLost())
			require.Equal(t, c.forced, others.refuseForcedQuorum(nil) == nil)
		})
	}
	var others voterStates
	others.add(voter, nil)
	others.add(&peerpb.Member{Identity: 5, NodeId: "c", Learner: true}, nil)
	require.Error(t, others.refuseForcedQuorum([]string{"c"}))
	require.NoError(t, others.refuseForcedQuorum([]string{"b"}), "the operator states that the disk is gone")
}

// Guards against an operator who learns of a lost quorum only from callers, and against a
// forced quorum while the lost one could return.
func TestLostQuorumIsReportedAndRecovered(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.propose(c.leader(), 1, 60)
		c.waitRevision(60)
		survivor := c.leader()
		id, folder := survivor.keeper.opts.NodeID, survivor.keeper.opts.Folder
		var others []string
		for _, other := range nodeIDs {
			if other != id {
				others = append(others, other)
				c.lose(c.members[other])
			}
		}
		forced := ForcedQuorum{Folder: folder, NodeID: id, Dialer: survivor.dialer}
		<-time.After(noLeaderTimeout + 5*time.Second)
		require.Equal(t, 1, survivor.log.count("quorum_unreachable"), "reported once")
		require.Zero(t, survivor.log.count("quorum_lost"), "they may return with their disks")
		for _, other := range others {
			c.start(other)
		}
		<-time.After(5 * time.Second)
		require.Equal(t, 1, survivor.log.count("quorum_lost"), "reported once")
		for _, m := range []string{id, others[0], others[1]} {
			c.stop(c.members[m], c.members[m].keeper.Kill)
		}
		dialer := &testDialer{cluster: c, from: id, conns: survivor.dialer.conns}
		clear(dialer.conns)
		defer dialer.Close()
		forced.Dialer = dialer
		require.Equal(t, fault.Conflict, fault.From(forced.Run(context.Background())).Kind, "the others may return with their disks")
		forced.Gone = others
		require.NoError(t, forced.Run(context.Background()))
		for _, other := range others {
			require.NoError(t, os.RemoveAll(filepath.Join(c.root, other)))
		}
		c.start(id)
		c.propose(c.leader(), 61, 62)
	})
}
