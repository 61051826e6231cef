package demo

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// captionCallers is the number of callers that stream captions concurrently.
	captionCallers = 20
	// captionTokens is the length of each caption, in tokens.
	captionTokens = 200
)

// captionLoad streams captions until stopped. A stream may be truncated when its node
// is killed, but the tokens that it delivered must be correct.
type captionLoad struct {
	d         *Demo
	stop      chan struct{}
	callers   sync.WaitGroup
	completed atomic.Int64
	truncated atomic.Int64
	// unexpected holds the error of the first stream with an unexpected token.
	unexpected chan error
}

func startCaptions(d *Demo) *captionLoad {
	l := &captionLoad{d: d, stop: make(chan struct{}), unexpected: make(chan error, 1)}
	for i := range captionCallers {
		random := rand.New(rand.NewPCG(loadSeed, uint64(i))) //nolint:gosec // the choice of nodes needs no secrecy.
		l.callers.Go(func() { l.run(random) })
	}
	return l
}

func (l *captionLoad) run(random *rand.Rand) {
	for {
		select {
		case <-l.stop:
			return
		default:
			l.streamOne(l.d.opts.Callers[random.IntN(len(l.d.opts.Callers))])
		}
	}
}

func (l *captionLoad) streamOne(address string) {
	got, err := l.d.caller.stream(address, captionTokens, nil)
	if err == nil && got != captionTokens {
		err = &unexpectedTokenError{address, fmt.Sprintf("[DONE] after %d", got), fmt.Sprintf("[DONE] after %d", captionTokens)}
	}
	var unexpected *unexpectedTokenError
	switch {
	case err == nil:
		l.completed.Add(1)
	case errors.As(err, &unexpected):
		select {
		case l.unexpected <- err:
		default:
		}
	default:
		l.truncated.Add(1)
		time.Sleep(pollInterval)
	}
}

func (l *captionLoad) finish() (string, error) {
	close(l.stop)
	l.callers.Wait()
	select {
	case err := <-l.unexpected:
		return "", err
	default:
		return fmt.Sprintf("%d streams complete, %d refused or truncated with their node", l.completed.Load(), l.truncated.Load()), nil
	}
}
