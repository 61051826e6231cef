package main

import (
	"fmt"
	"time"
)

const (
	// One join in lateOneIn gets no answer and is carried out minLateBy to maxLateBy later.
	lateOneIn            = 3
	minLateBy, maxLateBy = 2 * time.Second, 6 * time.Second
)

// delaysOrder decides whether an order gets no answer and is carried out late.
func (es *engineSet) delaysOrder(o order) bool {
	if o.Op != "join" || !es.faultsActive.Load() {
		return false
	}
	return randomSource(es.seed, fmt.Sprint("late order ", es.joins.Add(1))).IntN(lateOneIn) == 0
}

// carryOutLate carries out an order later, unless the engine has restarted by then.
func (e *engine) carryOutLate(o order) {
	incarnation := e.startTime.Load()
	by := minLateBy + time.Duration(randomSource(e.set.seed, fmt.Sprint(o.Group, e.id)).Int64N(int64(maxLateBy-minLateBy)))
	time.AfterFunc(by, func() {
		if e.startTime.Load() != incarnation {
			return
		}
		e.checkJoin(o)
		e.group.execute(time.Now(), o, e.id)
	})
}

// checkJoin records a violation if the engine takes a join of another group while the head of its group is open or
// closing.
func (e *engine) checkJoin(o order) {
	now := time.Now()
	group, taken := e.group.leavesFor(now, o)
	if !taken {
		return
	}
	for _, head := range e.set.all {
		if head.group.heads(now, group) {
			e.set.runs.addUnexpected(fmt.Sprintf("%s joins %s with epoch %d while the head %s of its group %s is open or closing", e.id, o.Group, o.Epoch, head.id, group))
		}
	}
}

// leavesFor returns the engine's group if it takes a join of another one.
func (m *membership) leavesFor(now time.Time, o order) (group string, taken bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDue(now)
	taken = o.Op == "join" && m.group != "" && m.group != o.Group && o.Epoch >= m.lastEpoch && (o.Expected == nil || *o.Expected == m.begun)
	return m.group, taken
}

// heads reports whether the engine is the head of a group that is open or closing.
func (m *membership) heads(now time.Time, group string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDue(now)
	return m.group == group && m.rank == 0 && (m.state == groupOpen || m.state == groupClosing)
}
