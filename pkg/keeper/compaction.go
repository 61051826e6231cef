package keeper

import "github.com/masticmount/masticmount/pkg/peerpb"

// progressSince counts what was applied after the last snapshot.
type progressSince struct {
	entries uint64
	bytes   int
	// snapshotSize is the size of that snapshot.
	snapshotSize int
}

func (p *progressSince) add(e *peerpb.LogEntry) {
	p.entries++
	p.bytes += len(e.GetData())
}

// due reports whether to take the next snapshot.
func (p *progressSince) due(maxEntries uint64) bool {
	return p.entries >= maxEntries || p.bytes >= max(snapshotBytes, snapshotRatio*p.snapshotSize)
}

// keptFrom returns the new base of a log with a snapshot at index, given the entries after
// its present base: as many entries before the snapshot stay as the limits allow.
func keptFrom(base uint64, entries []*peerpb.LogEntry, index uint64) uint64 {
	newBase, bytes := index, 0
	for newBase > base && index-newBase < keptEntries {
		if bytes += len(entries[newBase-base-1].GetData()); bytes > keptBytes {
			break
		}
		newBase--
	}
	return newBase
}
