package control

import (
	"context"
	"time"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// commitDeparture commits an upstream's statement that it leaves, so that it outlasts the keeper
// that acknowledges it. It does nothing if that is committed already, or if the directory has a
// newer announcement by which the upstream stays or has started anew.
func (c *Control) commitDeparture(id string, startTime uint64) error {
	c.mu.Lock()
	u, known := c.directory.Get(id)
	c.mu.Unlock()
	if !known || u.StartTime != startTime || !u.Leaving() || c.isDepartureCommitted(&u) {
		return nil
	}
	began := boottime.Now()
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	record := fleet.Encode(&u, u.AnnouncedAt)
	_, err := c.opts.Keeper.Propose(ctx, &peerpb.ProposeRequest{
		Command: &peerpb.Command{Body: &peerpb.Command_Departure{Departure: &peerpb.Departure{Upstream: record}}},
	})
	if err != nil {
		f := keeper.FaultOf(err)
		c.opts.Metrics.Add("departures.not_committed", 1)
		c.opts.Log.Warn().Err(f).Str("upstream", id).Bool("deregistered", u.Deregistered).Msg("departure_not_committed")
		return f
	}
	c.opts.Metrics.Add("departures.committed", 1)
	c.opts.Log.Info().Str("upstream", id).Bool("deregistered", u.Deregistered).Dur("took_ms", boottime.Now().Sub(began)).Msg("departure_committed")
	return nil
}

func (c *Control) isDepartureCommitted(u *fleet.Upstream) bool {
	var committed *peerpb.UpstreamRecord
	c.opts.Keeper.Read(func() { committed = c.opts.Machine.Departure(u.ID) })
	switch {
	case committed == nil || committed.GetBornMs() != u.StartTime:
		return false
	case committed.GetGone():
		return true
	default:
		return !u.Deregistered && committed.GetSequence() >= u.DrainingFrom
	}
}

// recordDepartures records the committed departures that the directory does not have yet. Their
// age is not known; the directory keeps them as if they were announced now.
func (c *Control) recordDepartures() {
	c.mu.Lock()
	records, version := c.opts.Machine.DeparturesSince(c.seenDepartures)
	c.seenDepartures = version
	c.mu.Unlock()
	for _, r := range records {
		c.record(fleet.Decode(r, boottime.Now()))
	}
}

// commitTimeout bounds one commit or quorum read for a caller: upstreams and operators' tools try
// another node after 1 s without an answer.
const commitTimeout = 900 * time.Millisecond
