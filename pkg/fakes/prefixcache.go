package fakes

import (
	"hash/fnv"
	"sync"
)

// prefixBlockBytes is the length of a block of prompt text in the prefix cache.
const prefixBlockBytes = 64

// CacheEvent reports that an engine stored or evicted a block of a prompt prefix.
type CacheEvent struct {
	// Sequence increases by one with each event; a gap means that events were lost.
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Stored   bool   `json:"stored"`
}

// prefixCache caches prompt prefixes in blocks, with a bounded number of blocks. It
// evicts the oldest block first.
type prefixCache struct {
	mu       sync.Mutex
	capacity int
	order    []uint64
	cached   map[uint64]bool
	sequence uint64
	events   []CacheEvent
	// dropEvery drops every event whose sequence number is a multiple of it; 0 drops
	// none.
	dropEvery uint64
}

func newPrefixCache(capacity int, dropEvery uint64) *prefixCache {
	return &prefixCache{capacity: capacity, cached: map[uint64]bool{}, dropEvery: dropEvery}
}

// use stores a prompt's prefix and returns the number of blocks that were cached
// and the number of all its blocks.
func (p *prefixCache) use(prompt string) (hits, blocks int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := fnv.New64a()
	prefixCached := true
	for ; len(prompt) >= prefixBlockBytes; prompt = prompt[prefixBlockBytes:] {
		_, _ = h.Write([]byte(prompt[:prefixBlockBytes]))
		block := h.Sum64()
		blocks++
		prefixCached = prefixCached && p.cached[block]
		if prefixCached {
			hits++
			continue
		}
		p.store(block)
	}
	return hits, blocks
}

func (p *prefixCache) store(block uint64) {
	if p.cached[block] {
		return
	}
	p.cached[block] = true
	p.order = append(p.order, block)
	p.emit(block, true)
	if len(p.order) > p.capacity {
		oldest := p.order[0]
		p.order = p.order[1:]
		delete(p.cached, oldest)
		p.emit(oldest, false)
	}
}

func (p *prefixCache) emit(block uint64, stored bool) {
	p.sequence++
	if p.dropEvery > 0 && p.sequence%p.dropEvery == 0 {
		return
	}
	p.events = append(p.events, CacheEvent{Sequence: p.sequence, Block: block, Stored: stored})
}

// drain returns the events since the previous call.
func (p *prefixCache) drain() []CacheEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	events := p.events
	p.events = nil
	return events
}
