package attach

import (
	"math"
	"sync/atomic"
	"time"
)

// neverConfirmed is the age of a configuration that no quorum has confirmed.
const neverConfirmed = time.Duration(math.MaxInt64)

// freshness is since when the configuration in force is known to be the newest. A
// token is the time at which it was sent, so the answer to it tells of that time.
type freshness struct {
	// at is the highest token that was confirmed, in nanoseconds of boot time.
	at atomic.Int64
}

// token returns a token of now.
func (f *freshness) token(now time.Time) uint64 { return uint64(now.UnixNano()) }

func (f *freshness) confirm(token uint64) {
	for {
		held := f.at.Load()
		if int64(token) <= held || f.at.CompareAndSwap(held, int64(token)) {
			return
		}
	}
}

func (f *freshness) age(now time.Time) time.Duration {
	at := f.at.Load()
	if at == 0 {
		return neverConfirmed
	}
	return time.Duration(now.UnixNano() - at)
}
