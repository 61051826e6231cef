package coordinator

import "time"

// Voter manages one node's vote in the election of one failure domain.
type Voter struct {
	domain       string
	node         string
	abstainUntil time.Time
	// holder is the last holder that was granted the vote, and round its last round
	// granted or released.
	holder       Holder
	round        uint64
	grantedUntil time.Time
	// highestFence is the highest fencing number recorded.
	highestFence uint64
}

// NewVoter returns a voter whose node starts at the given time. It abstains for
// MaxLease, because it may have granted its vote before a restart and that grant
// may still be valid.
func NewVoter(now time.Time, domain, node string) *Voter {
	return &Voter{domain: domain, node: node, abstainUntil: now.Add(MaxLease)}
}

// Request grants or refuses a request for the vote.
func (v *Voter) Request(now time.Time, r Request) Reply {
	reply := Reply{Domain: v.domain, From: v.node, To: r.From, Round: r.Round}
	switch {
	case now.Before(v.abstainUntil):
		reply.Remaining = v.abstainUntil.Sub(now)
	case now.Before(v.grantedUntil) && v.holder != r.From:
		reply.Remaining = v.grantedUntil.Sub(now)
	case v.holder == r.From && r.Round <= v.round:
		// Superseded by a later request or release of the same holder.
	default:
		v.grant(now, r)
		reply.Granted = true
	}
	reply.Highest = v.highestFence
	return reply
}

func (v *Voter) grant(now time.Time, r Request) {
	v.holder, v.round = r.From, r.Round
	v.grantedUntil = now.Add(MaxLease)
	v.highestFence = max(v.highestFence, r.Fence)
}

// Release ends a grant unless the holder has sent a later request. It reports
// whether the grant was ended.
func (v *Voter) Release(r Release) bool {
	if v.holder != r.From || v.round > r.Round {
		return false
	}
	v.round, v.grantedUntil = r.Round, time.Time{}
	return true
}

// grantedToOther returns the end of the current grant, and whether the grant is
// valid and belongs to a holder other than self.
func (v *Voter) grantedToOther(now time.Time, self Holder) (time.Time, bool) {
	return v.grantedUntil, now.Before(v.grantedUntil) && v.holder != self
}
