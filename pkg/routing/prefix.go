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
	last   uint64
	cached map[uint64]struct{}
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{groups: map[string]*prefixSet{}} }

// Apply applies one event. Events older than the last one are ignored.
func (x *PrefixIndex) Apply(e CacheEvent) {
	set := x.groups[e.Group]
	if set == nil {
		set = &prefixSet{cached: map[uint64]struct{}{}, last: e.Sequence - 1}
		x.groups[e.Group] = set
	}
	if e.Sequence <= set.last {
		return
	}
	if e.Sequence != set.last+1 && !x.ignoreGaps {
		clear(set.cached)
	}
	set.last = e.Sequence
	if e.Evicted {
		delete(set.cached, e.Prefix)
		return
	}
	if len(set.cached) < maxPrefixes {
		set.cached[e.Prefix] = struct{}{}
	}
}

// Holds reports whether a group is known to have a prefix cached.
func (x *PrefixIndex) Holds(group string, prefix uint64) bool {
	set := x.groups[group]
	if set == nil {
		return false
	}
	_, ok := set.cached[prefix]
	return ok
}

// Remove drops the prefixes of a group.
func (x *PrefixIndex) Remove(group string) { delete(x.groups, group) }

// rendezvous returns the rank of a group for a prefix (rendezvous hashing). The group
// with the highest rank is the prefix's rendezvous group; a change of groups moves
// only the prefixes of the groups concerned.
func rendezvous(prefix, group uint64) uint64 {
	x := (prefix ^ group) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	return x * 0xd6e8feb86659fd93
}
