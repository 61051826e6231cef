package attach

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLinks is the number of keepers that an entry is attached to: one may be lost
	// and one cut off.
	maxLinks = 3
	// nearLinks of them go to keepers of the own failure domain, where there are as many:
	// bytes between failure domains cost, and one link to another serves when both fail.
	nearLinks = 2
	// failedFor is how long a keeper that could not be reached stands behind the others.
	failedFor = 2 * time.Second
)

// keeperAt is a keeper that an entry knows of. Its failure domain is empty where only
// the settings name it.
type keeperAt struct{ address, failureDomain string }

// preference orders keepers for one entry, lower first. The hash differs for each
// entry, so that entries spread.
type preference struct {
	failed bool
	class  int
	hash   uint64
}

// The classes of keepers: those of the own failure domain, up to nearLinks, then those
// of others, then what is left of the own.
const (
	near = iota
	far
	surplus
)

// prefer orders the keepers by how well they serve an entry.
func prefer(node, failureDomain string, keepers []keeperAt, failedAt map[string]time.Time, now time.Time) []string {
	of := map[string]preference{}
	for _, k := range keepers {
		at, failed := failedAt[k.address]
		p := preference{failed: failed && now.Sub(at) < failedFor, class: far, hash: xxhash.Sum64String(node + k.address)}
		if k.failureDomain == failureDomain {
			p.class = near
		}
		of[k.address] = p
	}
	addresses := make([]string, 0, len(of))
	for address := range of {
		addresses = append(addresses, address)
	}
	order := func(a, b string) int { return of[a].compare(of[b]) }
	slices.SortFunc(addresses, order)
	taken := 0
	for _, address := range addresses {
		p := of[address]
		if p.class == near && !p.failed {
			if taken++; taken > nearLinks {
				p.class = surplus
				of[address] = p
			}
		}
	}
	slices.SortFunc(addresses, order)
	return addresses
}

func (p preference) compare(q preference) int {
	if p.failed != q.failed {
		if p.failed {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(p.class, q.class), cmp.Compare(p.hash, q.hash))
}
