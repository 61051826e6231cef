package tunnel

import (
	"slices"
	"time"
)

const (
	// minFailures and minAddresses are the failures in a row to open direct connections, and the upstreams among
	// them, after which the direct path counts as down. One upstream may have ended.
	minFailures  = 3
	minAddresses = 2
	// maxAnswered is the number of upstreams that answered last which must all fail, too.
	maxAnswered = 4
	// answerTimeout is the time in which some upstream answers an entry that has sent something, by far: prompts
	// are read in less, and other streams go on meanwhile.
	answerTimeout = 300 * time.Millisecond
	// connsValidFor is how long bytes from an open connection show that open connections still work while new ones
	// fail.
	connsValidFor = time.Second
	// probeInterval is the time between two probes while the path is down or suspected to be.
	probeInterval = 250 * time.Millisecond
	// recoverySuccesses is the number of direct connections after which the path counts as up, while the
	// upstreams that they were opened to don't fail.
	recoverySuccesses = 3
	// recoveryTime is the time after that in which new connections return to the direct path, so that not all are
	// opened in one moment.
	recoveryTime = 2 * time.Second
)

// Path is what an entry knows of its own path to the upstreams: whether connections can be opened directly, and
// whether open ones still carry something. It does no I/O, reads no clock and is not safe for concurrent use.
type Path struct {
	// failed are the addresses at which direct connections failed since the last success; failures counts them all.
	failed   map[string]struct{}
	failures int
	// failedSince is the first of these failures.
	failedSince time.Time
	// successes counts direct connections while the path is down. It begins anew if the upstream that the last one
	// was opened to fails; others may have ended.
	successes  int
	lastOpened string
	down       bool
	// changedAt is when the path went down or came up.
	changedAt time.Time
	probedAt  time.Time
	// openedAt is when a direct connection was last opened, receivedAt when the last byte came over one.
	openedAt, receivedAt time.Time
	// answered are the addresses of the upstreams that sent something last, the latest first.
	answered []string
	// probes counts the probes.
	probes int
	// waitingSince is the first send over a direct connection since the last byte; zero if there is none.
	waitingSince time.Time
}

// Opened records that a direct connection to an address was opened.
func (p *Path) Opened(now time.Time, address string) (changed bool) {
	clear(p.failed)
	p.failures, p.openedAt, p.lastOpened, p.waitingSince = 0, now, address, time.Time{}
	if !p.down {
		return false
	}
	if p.successes++; p.successes < recoverySuccesses {
		return false
	}
	p.down, p.changedAt = false, now
	return true
}

// Failed records that a direct connection to an address could not be opened, although another path to it exists or
// is not known.
func (p *Path) Failed(now time.Time, address string) (changed bool) {
	if p.failed == nil {
		p.failed = map[string]struct{}{}
	}
	p.failed[address] = struct{}{}
	if p.failures++; p.failures == 1 {
		p.failedSince = now
	}
	if address == p.lastOpened {
		p.successes = 0
	}
	if p.down || !p.suspected() || !p.answeredFailed() || p.receives(now) {
		return false
	}
	p.down, p.changedAt, p.probedAt, p.successes = true, now, now, 0
	return true
}

// suspected reports whether so many connections failed that the path may be down.
func (p *Path) suspected() bool { return p.failures >= minFailures && len(p.failed) >= minAddresses }

// answeredFailed reports whether the upstreams that answered last cannot be reached either; some may have ended together.
func (p *Path) answeredFailed() bool {
	return !slices.ContainsFunc(p.answered, func(address string) bool { return !p.hasFailed(address) })
}

func (p *Path) hasFailed(address string) bool {
	_, failed := p.failed[address]
	return failed
}

// receives reports whether open connections have gone on to bring something since connections began to fail.
func (p *Path) receives(now time.Time) bool {
	return p.receivedAt.After(p.failedSince) && now.Sub(p.receivedAt) <= answerTimeout
}

// failedAlone reports whether no other address failed since a connection was last opened.
func (p *Path) failedAlone(address string) bool {
	return p.hasFailed(address) && len(p.failed) == 1
}

// probeDue reports whether a connection is to be opened to find out whether the path works, and counts it.
func (p *Path) probeDue(now time.Time) bool {
	if !p.suspected() && !p.down || now.Sub(p.probedAt) < probeInterval {
		return false
	}
	p.probedAt = now
	p.probes++
	return true
}

// probeAddress returns the upstream to which a probe connects: one that answered and has not failed since, or else
// each of those that answered in turn. It is empty if none has answered.
func (p *Path) probeAddress() string {
	if len(p.answered) == 0 {
		return ""
	}
	if i := slices.IndexFunc(p.answered, func(address string) bool { return !p.hasFailed(address) }); i >= 0 {
		return p.answered[i]
	}
	return p.answered[p.probes%len(p.answered)]
}

// Sent records that bytes were sent over a direct connection.
func (p *Path) Sent(now time.Time) {
	if p.waitingSince.IsZero() {
		p.waitingSince = now
	}
}

// Received records that bytes came over a direct connection from an address.
func (p *Path) Received(now time.Time, address string) {
	p.receivedAt, p.waitingSince = now, time.Time{}
	if len(p.answered) > 0 && p.answered[0] == address {
		return
	}
	p.answered = slices.DeleteFunc(p.answered, func(other string) bool { return other == address })
	p.answered = slices.Insert(p.answered, 0, address)
	p.answered = p.answered[:min(len(p.answered), maxAnswered)]
}

// Down reports whether direct connections cannot be opened.
func (p *Path) Down() bool { return p.down }

// Silent reports whether no upstream has sent anything for a time although some were sent something.
func (p *Path) Silent(now time.Time) bool {
	return !p.waitingSince.IsZero() && now.Sub(p.waitingSince) > answerTimeout
}

// ConnsUsable reports whether open direct connections may carry requests: they may have survived while new ones fail.
func (p *Path) ConnsUsable(now time.Time) bool {
	return !p.Silent(now) && (!p.down || now.Sub(p.receivedAt) <= connsValidFor)
}

// Proven reports whether something came over the direct path since a given time. Without that, silence and failures
// show nothing of an upstream.
func (p *Path) Proven(since time.Time) bool {
	return p.openedAt.After(since) || p.receivedAt.After(since)
}

// DirectShare is the share of new connections that go directly first. It rises for recoveryTime after the path came up.
func (p *Path) DirectShare(now time.Time) float64 {
	switch {
	case p.down:
		return 0
	case p.changedAt.IsZero():
		return 1
	default:
		return min(1, float64(now.Sub(p.changedAt))/float64(recoveryTime))
	}
}
