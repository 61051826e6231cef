package demo

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// suspendTime is how long a suspended node stays stopped.
	suspendTime = 8 * time.Second
	// recoverLimit bounds the wait until the system has recovered from a fault.
	recoverLimit = 25 * time.Second
	// detectionTime is the time in which every node detects a dead member.
	detectionTime = 2 * time.Second
	// lostDiskKeeper is the index of the node whose data folder is removed.
	lostDiskKeeper = 6
)

// FaultSteps returns steps that inject faults under a load of grants and captions. The
// last step compares the outcomes reported to callers with the runs.
func (d *Demo) FaultSteps() []Step {
	var load *grantLoad
	var captions *captionLoad
	var watch *watcher
	return []Step{
		{"groups of four VMs whole in each failure domain", d.groupsWhole},
		{"load and monitoring started", func() (string, error) {
			load, captions, watch = startGrants(d), startCaptions(d), startWatcher(d)
			return "a grant every 20 ms and 20 concurrent captions through random nodes", nil
		}},
		{"service closes after reading: outcome unknown, no second run", d.serviceCloses},
		{"keeper killed: changes still accepted, keeper catches up", d.killKeeper},
		{"one failure domain killed and restarted", func() (string, error) { return d.killNodes(3, 4, 5) }},
		{"all nodes killed together and restarted", func() (string, error) { return d.killNodes(0, 1, 2, 3, 4, 5, 6, 7, 8) }},
		{"groups whole again", d.groupsWhole},
		{"node suspended and resumed", d.suspendNode},
		{"keeper's disk lost", d.loseDisk},
		{"members killed in every domain, groups whole again", d.killMembers},
		{"no VM in two groups, no revision decreased", func() (string, error) { return watch.finish() }},
		{"no stream with a missing, repeated or foreign token", func() (string, error) { return captions.finish() }},
		{"outcomes reported to callers match the runs", func() (string, error) { return load.finish() }},
	}
}

func (d *Demo) serviceCloses() (string, error) {
	for _, service := range d.opts.Services {
		if _, err := d.caller.send(http.MethodPost, service, "/fake/fault", "", []byte(`{"close_after_read":true,"times":3}`)); err != nil {
			return "", err
		}
	}
	return "each service closes the connection of three requests after reading", nil
}

// killNodes kills nodes and waits until the last accepted limit is in force on all
// nodes.
func (d *Demo) killNodes(nodes ...int) (string, error) {
	revision, err := d.setRateLimit(30_000 + float64(nodes[0]) + float64(len(nodes)))
	if err != nil {
		return "", err
	}
	for _, node := range nodes {
		if err := d.signal(node, syscall.SIGKILL); err != nil {
			return "", err
		}
	}
	return d.waitRecovered(revision)
}

// waitRecovered waits until a revision is in force on every node and a new change is
// accepted.
func (d *Demo) waitRecovered(revision uint64) (string, error) {
	took, err := waitFor(recoverLimit, func() error { return d.checkRevision(revision) })
	if err != nil {
		return "", err
	}
	accepted, err := waitFor(recoverLimit, func() error {
		_, err := d.setRateLimit(40_000 + float64(revision))
		return err
	})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d in force on all nodes after %s, next change accepted %s later", revision,
		took.Round(time.Millisecond), accepted.Round(time.Millisecond)), nil
}

func (d *Demo) loseDisk() (string, error) {
	revision, err := d.setRateLimit(50_000)
	if err != nil {
		return "", err
	}
	holdFile := d.opts.PIDFiles[lostDiskKeeper] + ".hold"
	if err := os.WriteFile(holdFile, nil, 0o600); err != nil {
		return "", fmt.Errorf("keep the killed keeper down: %w", err)
	}
	err = d.signal(lostDiskKeeper, syscall.SIGKILL)
	if err == nil {
		err = os.RemoveAll(d.opts.DataFolders[lostDiskKeeper])
	}
	if err := errors.Join(err, os.Remove(holdFile)); err != nil {
		return "", fmt.Errorf("remove the keeper's data folder: %w", err)
	}
	return d.waitRecovered(revision)
}

func (d *Demo) suspendNode() (string, error) {
	if err := d.signal(0, syscall.SIGSTOP); err != nil {
		return "", err
	}
	time.Sleep(suspendTime)
	revision := uint64(0)
	_, err := waitFor(recoverLimit, func() (err error) {
		revision, err = d.setRateLimitThrough(1, 60_000)
		return err
	})
	if err := errors.Join(err, d.signal(0, syscall.SIGCONT)); err != nil {
		return "", err
	}
	return d.waitRecovered(revision)
}

// killMembers kills the last member of a group in each failure domain.
func (d *Demo) killMembers() (string, error) {
	if _, err := d.groupsWhole(); err != nil {
		return "", err
	}
	for _, node := range []int{0, 3, 6} {
		status, err := d.admins[node].Status()
		if err != nil {
			return "", err
		}
		groups := captionGroups(status)
		victim := groups[0].Members[len(groups[0].Members)-1]
		if _, err := d.caller.send(http.MethodPost, victim.Address, "/fake/fault", "", []byte(`{"dead":true}`)); err != nil {
			return "", err
		}
	}
	time.Sleep(detectionTime)
	return d.groupsWhole()
}
