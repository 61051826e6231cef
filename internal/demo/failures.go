package demo

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"
)

// signal sends a signal to a node's process.
func (d *Demo) signal(node int, sig os.Signal) error {
	text, err := os.ReadFile(d.opts.PIDFiles[node])
	if err != nil {
		return fmt.Errorf("node %d: %w", node, err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return fmt.Errorf("node %d: %w", node, err)
	}
	process, err := os.FindProcess(pid)
	if err != nil {
		return fmt.Errorf("node %d: %w", node, err)
	}
	if err := process.Signal(sig); err != nil {
		return fmt.Errorf("signal node %d: %w", node, err)
	}
	return nil
}

// killedKeeper is the index of the node to kill, the keeper of the second failure
// domain.
const killedKeeper = 3

func (d *Demo) killKeeper() (string, error) {
	if err := d.signal(killedKeeper, syscall.SIGKILL); err != nil {
		return "", err
	}
	var revision uint64
	accepted, err := waitFor(inForceLimit, func() (err error) {
		revision, err = d.setRateLimit(20_000)
		return err
	})
	if err != nil {
		return "", err
	}
	caughtUp, err := waitFor(formLimit, func() error {
		status, err := d.admins[killedKeeper].Status()
		if err != nil {
			return err
		}
		if status.Revision < revision {
			return fmt.Errorf("the restarted keeper is at revision %d, want %d", status.Revision, revision)
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d accepted after %s, on the restarted keeper after %s", revision,
		accepted.Round(time.Millisecond), caughtUp.Round(time.Millisecond)), nil
}

func (d *Demo) plannedStop() (string, error) {
	const streams, tokens = 40, 300
	address := d.opts.Callers[0]
	var once sync.WaitGroup
	once.Add(streams)
	var result error
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		result = parallel(streams, func(int) error {
			var first sync.Once
			defer first.Do(once.Done)
			got, err := d.caller.stream(address, tokens, func() { first.Do(once.Done) })
			if err == nil && got != tokens {
				err = fmt.Errorf("%d tokens, want %d", got, tokens)
			}
			return err
		})
	}()
	once.Wait()
	if err := d.signal(0, syscall.SIGTERM); err != nil {
		return "", err
	}
	<-finished
	if result != nil {
		return "", result
	}
	return fmt.Sprintf("%d streams of %d tokens complete through the stopping node", streams, tokens), d.othersServe()
}

// othersServe checks that the remaining nodes serve once the first has stopped.
func (d *Demo) othersServe() error {
	_, err := waitFor(formLimit, func() error {
		return parallel(len(d.opts.Callers)-1, func(i int) error {
			got, err := d.caller.stream(d.opts.Callers[i+1], 5, nil)
			if err == nil && got != 5 {
				err = fmt.Errorf("%d tokens, want 5", got)
			}
			return err
		})
	})
	return err
}

// parallel calls fn concurrently for each index below n. Its error has the number of
// failures and the first of them.
func parallel(n int, fn func(i int) error) error {
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { errs[i] = fn(i) })
	}
	wg.Wait()
	failed := lo.Filter(errs, func(err error, _ int) bool { return err != nil })
	if len(failed) == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d failed, the first: %w", len(failed), n, failed[0])
}
