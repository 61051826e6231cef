package tunnel

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

// peerBackoff is how long an entry that opened no tunnel is not asked again.
const peerBackoff = time.Second

// localWeight is the weight of entries in the same failure domain in the choice: traffic between failure domains costs,
// but those that are left of a failure domain must not carry everything.
const localWeight = 2

// Peer is another entry that opens tunnels.
type Peer struct {
	NodeID, Address, FailureDomain string
	// Key is the secret of the entry's process, which it tells only to keepers.
	Key string
	// Reachable is true while the entry has a path to upstreams and is not stopping.
	Reachable bool
}

// isOpenTo reports whether a tunnel of the process with a key is as good as a new one: that process opens tunnels, or no
// other does.
func isOpenTo(peers []Peer, key string) bool {
	reachable := lo.Filter(peers, func(p Peer, _ int) bool { return p.Reachable })
	return len(reachable) == 0 || lo.SomeBy(reachable, func(p Peer) bool { return p.Key == key })
}

// choosePeer chooses an entry for a tunnel; false if none is left.
func choosePeer(random *rand.Rand, now time.Time, failureDomain string, peers []Peer, failedAt map[string]time.Time, tried map[string]bool) (Peer, bool) {
	usable := lo.Filter(peers, func(p Peer, _ int) bool {
		at, failed := failedAt[p.Address]
		return p.Reachable && !tried[p.Address] && (!failed || now.Sub(at) >= peerBackoff)
	})
	weight := func(p Peer) int {
		if p.FailureDomain == failureDomain {
			return localWeight
		}
		return 1
	}
	total := lo.SumBy(usable, weight)
	if total == 0 {
		return Peer{}, false
	}
	at := random.IntN(total)
	for _, p := range usable {
		if at -= weight(p); at < 0 {
			return p, true
		}
	}
	return usable[0], true
}
