package routing

import "github.com/cespare/xxhash/v2"

const (
	// prefixBytes is the length of the prompt prefix that affinity is computed from.
	prefixBytes = 512
	// maxPrefixes bounds the number of prefixes tracked per group.
	maxPrefixes = 4096
)

// PrefixOf returns the hash of a prompt's prefix for prefix affinity; 0 means no
// affinity.
func PrefixOf(prompt string) uint64 {
	if prompt == "" {
		return 0
	}
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

// CacheEvent is an engine's report that it stored or evicted a prefix.
type CacheEvent struct {
	Group string
	// Sequence increases by one with each event of a group.
	Sequence uint64
	Prefix   uint64
	Evicted  bool
}

// PrefixIndex tracks which prefixes each group has cached. A gap in a group's
// events may hide evictions, so the index then drops the group's prefixes.
type PrefixIndex struct {
	groups map[string]*prefixSet
	// ignoreGaps keeps prefixes after a gap; only tests set it.
	ignoreGaps bool
}

type prefixSet struct {
	lastSequence uint64
	cached       map[uint64]struct{}
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{groups: map[string]*prefixSet{}} }

// Apply applies one event. Events older than the last one are ignored.
func (index *PrefixIndex) Apply(e CacheEvent) {
	set := index.groups[e.Group]
	if set == nil {
		set = &prefixSet{cached: map[uint64]struct{}{}, lastSequence: e.Sequence - 1}
		index.groups[e.Group] = set
	}
	if e.Sequence <= set.lastSequence {
		return
	}
	if e.Sequence != set.lastSequence+1 && !index.ignoreGaps {
		clear(set.cached)
	}
	set.lastSequence = e.Sequence
	if e.Evicted {
		delete(set.cached, e.Prefix)
		return
	}
	if len(set.cached) < maxPrefixes {
		set.cached[e.Prefix] = struct{}{}
	}
}

// Holds reports whether a group is known to have a prefix cached.
func (index *PrefixIndex) Holds(group string, prefix uint64) bool {
	set := index.groups[group]
	if set == nil {
		return false
	}
	_, ok := set.cached[prefix]
	return ok
}

// Remove drops the prefixes of a group.
func (index *PrefixIndex) Remove(group string) { delete(index.groups, group) }

// rendezvous returns the rank of a group for a prefix (rendezvous hashing). The group
// with the highest rank is the prefix's rendezvous group; a change of groups moves
// only the prefixes of the groups concerned.
func rendezvous(prefix, group uint64) uint64 {
	hash := (prefix ^ group) * 0x9e3779b97f4a7c15
	hash ^= hash >> 32
	return hash * 0xd6e8feb86659fd93
}
