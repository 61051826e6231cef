package forward

import (
	"errors"
	"fmt"
	"strconv"
)

var (
	errEventsRepeated = errors.New("the run repeats events that were passed on")
	errEventsSkipped  = errors.New("the run skips events")
	errIDsNotNumeric  = errors.New("the run's identifiers are not integers, so its position cannot be verified")
)

// position is how far a stream has got, by the identifiers of its events: those that were
// passed on, or the one that the caller sent. A later run is spliced to it only where its
// events verifiably continue there.
type position struct {
	// firstID is the identifier of the earliest event that was passed on, eventCount the
	// number of them.
	firstID    string
	eventCount int
	// lastID is the identifier of the latest event; empty before any event.
	lastID string
	// number is lastID as an integer, valid where numeric is true.
	number  uint64
	numeric bool
	// started is true once an event was passed on.
	started bool
	// lacksID is true when the last event had no identifier.
	lacksID bool
}

// numbering is how a service numbers its events, as far as its runs have shown.
type numbering struct {
	// step is the difference between two consecutive identifiers; 0 before any were seen.
	step uint64
	// irregular is true once two different steps were seen.
	irregular bool
}

// defaultStep is assumed until a service's runs show another step.
const defaultStep = 1

func (n *numbering) recordStep(step uint64) {
	n.irregular = n.irregular || n.step != 0 && n.step != step
	n.step = step
}

// skips reports whether a step from one identifier to the next leaves events out.
func (n *numbering) skips(step uint64) bool {
	return !n.irregular && step > max(n.step, defaultStep)
}

// positionAfter returns the position of a stream whose latest event has the given identifier.
func positionAfter(identifier string) position {
	p := position{lastID: identifier}
	p.number, p.numeric = parseNumber(identifier)
	return p
}

func parseNumber(identifier string) (uint64, bool) {
	n, err := strconv.ParseUint(identifier, 10, 64)
	return n, err == nil
}

// advance records events as passed on, and the steps between their identifiers. The first event
// of a run gives no step: only two events of the same run show how an upstream numbers them.
func (p *position) advance(events []byte, firstOfRun bool, n *numbering) {
	for id := range identifiers(events) {
		if p.eventCount++; !p.started {
			p.firstID = id
		}
		p.started, p.lacksID = true, id == ""
		if id != "" {
			number, numeric := parseNumber(id)
			if !firstOfRun && p.numeric && numeric && number > p.number {
				n.recordStep(number - p.number)
			}
			p.lastID, p.number, p.numeric = id, number, numeric
		}
		firstOfRun = false
	}
}

// resumable reports whether an upstream can be asked to continue the stream, and whether its
// answer can be verified.
func (p *position) resumable() bool { return !p.started || p.numeric && !p.lacksID }

// checkNext returns why a later run that begins with a given identifier does not continue the
// stream; nil when it does. A caller that resumes by itself with identifiers that are not
// numbers is not checked.
func (p *position) checkNext(id string, n *numbering) error {
	if !p.started && !p.numeric {
		return nil
	}
	number, numeric := parseNumber(id)
	switch {
	case !p.numeric || !numeric:
		return fmt.Errorf("%w: it was asked to continue after %q and began with %q", errIDsNotNumeric, p.lastID, id)
	case number <= p.number:
		return fmt.Errorf("%w: it was asked to continue after %s and began with %s", errEventsRepeated, p.lastID, id)
	case n.skips(number - p.number):
		return fmt.Errorf("%w: it was asked to continue after %s and began with %s", errEventsSkipped, p.lastID, id)
	default:
		return nil
	}
}
