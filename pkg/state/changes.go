package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// A change identifier is kept for changeRetention of leader time, and longer while
// the log has at most minChanges records. The log never has more than maxChanges.
const (
	changeRetention = 72 * time.Hour
	minChanges      = 1_000
	maxChanges      = 100_000
)

// changeLog stores the first result of each change identifier, so that a resent
// change is not applied twice.
type changeLog struct {
	byID map[string]*peerpb.ChangeRecord
	// order holds the records oldest first; those before head have been pruned.
	order []*peerpb.ChangeRecord
	head  int
}

func newChangeLog() *changeLog {
	return &changeLog{byID: map[string]*peerpb.ChangeRecord{}}
}

// find returns the record of an identifier, or nil if there is none.
func (l *changeLog) find(id string) *peerpb.ChangeRecord { return l.byID[id] }

func (l *changeLog) add(r *peerpb.ChangeRecord) {
	l.byID[r.GetChangeId()] = r
	l.order = append(l.order, r)
	l.prune(r.GetAtMs())
}

func (l *changeLog) prune(nowMS int64) {
	for l.expired(nowMS) {
		delete(l.byID, l.order[l.head].GetChangeId())
		l.order[l.head] = nil
		l.head++
	}
	if l.head > len(l.order)/2 {
		l.order = append([]*peerpb.ChangeRecord(nil), l.order[l.head:]...)
		l.head = 0
	}
}

// expired reports whether the oldest record can be pruned.
func (l *changeLog) expired(nowMS int64) bool {
	kept := len(l.order) - l.head
	if kept > maxChanges {
		return true
	}
	return kept > minChanges && nowMS-l.order[l.head].GetAtMs() >= changeRetention.Milliseconds()
}

func (l *changeLog) records() []*peerpb.ChangeRecord { return l.order[l.head:] }

// firstResult returns the stored result, marked as repeated, for a resent change.
// It returns false if the identifier was used for a change with other content.
func firstResult(r *peerpb.ChangeRecord, c *peerpb.ConfigChange) (*peerpb.Result, bool) {
	if !bytes.Equal(r.GetDigest(), changeDigest(c)) {
		return nil, false
	}
	repeated, _ := proto.Clone(r.GetResult()).(*peerpb.Result)
	repeated.Repeated = true
	return repeated, true
}

// changeDigest returns a SHA-256 over all fields of a change. The variable-length
// fields are prefixed with their length.
func changeDigest(c *peerpb.ConfigChange) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.GetKind()), []byte(c.GetName()), c.GetSpec()} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = h.Write(part)
	}
	_ = binary.Write(h, binary.BigEndian, c.GetExpectedRevision())
	_ = binary.Write(h, binary.BigEndian, c.GetDelete())
	return h.Sum(nil)
}
