package fleetnode

import (
	"sync"
	"sync/atomic"
)

// duties are the goroutines of a node.
type duties struct{ group sync.WaitGroup }

func (d *duties) start(run func()) { d.group.Go(run) }

func (d *duties) wait() { d.group.Wait() }

// readiness is a node's own word on whether it takes new work.
type readiness struct{ value atomic.Bool }

func (r *readiness) get() bool { return r.value.Load() }

func (r *readiness) set(ready bool) { r.value.Store(ready) }
