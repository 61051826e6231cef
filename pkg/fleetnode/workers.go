package fleetnode

import (
	"sync"
	"sync/atomic"
)

// workerGroup is the group of goroutines of a node.
type workerGroup struct{ group sync.WaitGroup }

func (g *workerGroup) start(run func()) { g.group.Go(run) }

func (g *workerGroup) wait() { g.group.Wait() }

// readiness is the flag by which a node declares that it takes new work.
type readiness struct{ value atomic.Bool }

func (r *readiness) get() bool { return r.value.Load() }

func (r *readiness) set(ready bool) { r.value.Store(ready) }
