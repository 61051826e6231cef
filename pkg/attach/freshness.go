package attach

import (
	"math"
	"sync/atomic"
	"time"
)

// neverConfirmed is the age of a configuration that no quorum has confirmed.
const neverConfirmed = time.Duration(math.MaxInt64)

// freshness tracks the latest time at which the configuration in force is known to have
// been the newest. A token is the time at which it was sent: its confirmation holds for
// that time, not for the arrival of the answer.
type freshness struct {
	// confirmedAt is the highest confirmed token, in nanoseconds of boot time.
	confirmedAt atomic.Int64
}

// token returns the token for a request sent now.
func (f *freshness) token(now time.Time) uint64 { return uint64(now.UnixNano()) }

func (f *freshness) confirm(token uint64) {
	for {
		previous := f.confirmedAt.Load()
		if int64(token) <= previous || f.confirmedAt.CompareAndSwap(previous, int64(token)) {
			return
		}
	}
}

func (f *freshness) age(now time.Time) time.Duration {
	at := f.confirmedAt.Load()
	if at == 0 {
		return neverConfirmed
	}
	return time.Duration(now.UnixNano() - at)
}
