package attach

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLinks is the number of keepers that an entry is attached to: one may fail and
	// another one be partitioned.
	maxLinks = 3
	// maxUnconfirmedLinks is the number of keepers that an entry is attached to while none of them confirms its
	// configuration. The first ones are kept, as they may be the only ones that local upstreams reach.
	maxUnconfirmedLinks = 2 * maxLinks
	// localLinks is how many of them go to keepers in the entry's failure domain, if it has
	// that many, as traffic between failure domains is charged. One link to another
	// failure domain covers the loss of both.
	localLinks = 2
	// failureBackoff is how long a keeper that could not be reached ranks behind the
	// others.
	failureBackoff = 2 * time.Second
)

// keeperAddress is the address and failure domain of a keeper. The failure domain is empty
// for a keeper that is known only from the settings.
type keeperAddress struct{ address, failureDomain string }

// keeperRank ranks a keeper for one entry, lower first. The hash includes the entry's
// identifier, so that entries spread over the keepers.
type keeperRank struct {
	failed bool
	tier   int
	hash   uint64
}

// Tiers of keepers: up to localLinks in the entry's failure domain, then those in other
// failure domains, then the rest in the entry's own.
const (
	localTier = iota
	remoteTier
	surplusTier
)

// rankKeepers returns the addresses of the keepers, ranked for an entry, the best first.
func rankKeepers(node, failureDomain string, keepers []keeperAddress, failedAt map[string]time.Time, now time.Time) []string {
	ranks := map[string]keeperRank{}
	for _, k := range keepers {
		at, failed := failedAt[k.address]
		rank := keeperRank{failed: failed && now.Sub(at) < failureBackoff, tier: remoteTier, hash: xxhash.Sum64String(node + k.address)}
		if k.failureDomain == failureDomain {
			rank.tier = localTier
		}
		ranks[k.address] = rank
	}
	addresses := make([]string, 0, len(ranks))
	for address := range ranks {
		addresses = append(addresses, address)
	}
	order := func(a, b string) int { return ranks[a].compare(ranks[b]) }
	slices.SortFunc(addresses, order)
	localCount := 0
	for _, address := range addresses {
		rank := ranks[address]
		if rank.tier == localTier && !rank.failed {
			if localCount++; localCount > localLinks {
				rank.tier = surplusTier
				ranks[address] = rank
			}
		}
	}
	slices.SortFunc(addresses, order)
	return addresses
}

func (r keeperRank) compare(other keeperRank) int {
	if r.failed != other.failed {
		if r.failed {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(r.tier, other.tier), cmp.Compare(r.hash, other.hash))
}
