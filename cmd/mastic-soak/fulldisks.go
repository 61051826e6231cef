package main

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Each disk is full for minFullTime to maxFullTime, and the next one maxFullGap later at most.
	minFullTime, maxFullTime = 300 * time.Millisecond, 2500 * time.Millisecond
	maxFullGap               = 400 * time.Millisecond
	// recoveryTime is the time after the last fault in which a change must be acknowledged.
	recoveryTime = 12 * time.Second
)

// fillDisks has the disks of all keepers take no bytes for a time each, one after the other.
func (f *faults) fillDisks() {
	for _, i := range f.random.Perm(keeperCount) {
		n := f.region.keepers[i]
		inject(n, func() {
			if err := n.limitFiles(0); err != nil {
				// The process has just exited.
				return
			}
			time.Sleep(f.randomTime(minFullTime, maxFullTime))
			_ = n.limitFiles(unix.RLIM_INFINITY)
		})
		time.Sleep(f.randomTime(0, maxFullGap))
	}
}

// limitFiles bounds the size to which the node's process may write files: with 0 each write fails, as on a full disk.
func (n *node) limitFiles(size uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping || n.process.Process == nil {
		return syscall.ESRCH
	}
	return unix.Prlimit(n.process.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: size, Max: unix.RLIM_INFINITY}, nil)
}

// changesAcknowledged returns a violation unless a change is acknowledged within recoveryTime.
func (o *operator) changesAcknowledged() []string {
	before := o.acknowledged
	if o.replaceWithin(recoveryTime) {
		return nil
	}
	return []string{fmt.Sprintf("no change was acknowledged within %s after the last fault; the last acknowledged one is %d of %d", recoveryTime, before, o.version)}
}
