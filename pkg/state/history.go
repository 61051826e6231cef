package state

import (
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// maxHistoryEvents limits the number of events in a History.
const maxHistoryEvents = 1024

// History keeps recent configuration events, so that a watcher that lags slightly
// gets only the changed objects. It is not safe for concurrent use.
type History struct {
	// events are contiguous, oldest first.
	events []*peerpb.WatchEvent
}

// Add appends an event. A full event clears the history; an event that is not
// contiguous with the last one clears it and becomes the first event.
func (h *History) Add(event *peerpb.WatchEvent) {
	if event.GetFull() || !h.isContiguous(event) {
		h.events = nil
	}
	if event.GetFull() {
		return
	}
	h.events = append(h.events, event)
	if len(h.events) > maxHistoryEvents {
		h.events = append([]*peerpb.WatchEvent(nil), h.events[maxHistoryEvents/2:]...)
	}
}

func (h *History) isContiguous(event *peerpb.WatchEvent) bool {
	return len(h.events) == 0 || h.events[len(h.events)-1].GetRevision() == event.GetFromRevision()
}

// Since returns one event with all changes after a revision. It returns false if
// the history does not reach back to that revision.
func (h *History) Since(revision uint64) (event *peerpb.WatchEvent, ok bool) {
	first := h.firstAfter(revision)
	if first == len(h.events) || h.events[first].GetFromRevision() > revision {
		return nil, false
	}
	return mergeEvents(revision, h.events[first:]), true
}

func (h *History) firstAfter(revision uint64) int {
	for i, event := range h.events {
		if event.GetRevision() > revision {
			return i
		}
	}
	return len(h.events)
}

// mergeEvents merges events into one that has only the last change of each object.
func mergeEvents(from uint64, events []*peerpb.WatchEvent) *peerpb.WatchEvent {
	merged := &peerpb.WatchEvent{FromRevision: from, Revision: events[len(events)-1].GetRevision()}
	seen := map[string]bool{}
	for i := len(events) - 1; i >= 0; i-- {
		for _, o := range events[i].GetObjects() {
			if key := o.GetKind() + "/" + o.GetName(); !seen[key] {
				seen[key] = true
				merged.Objects = append(merged.Objects, o)
			}
		}
		for _, key := range events[i].GetDeleted() {
			if !seen[key] {
				seen[key] = true
				merged.Deleted = append(merged.Deleted, key)
			}
		}
	}
	return merged
}
