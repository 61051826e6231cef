package routing

import "time"

const (
	// hedgeQuantile is the quantile of the time to first token after which a hedge is
	// sent.
	hedgeQuantile = 0.97
	// hedgeStep is the relative step of the estimate per observation.
	hedgeStep = 0.05
	// hedgeMinSamples is the number of observations required before hedging starts.
	hedgeMinSamples = 100
)

// Hedge estimates the delay after which a second copy of an idempotent short
// request is sent: the hedgeQuantile of the time to first token.
type Hedge struct {
	estimate float64
	samples  int
}

// Observe records one time to first token.
func (h *Hedge) Observe(firstToken time.Duration) {
	sample := float64(firstToken)
	h.samples++
	if h.estimate == 0 {
		h.estimate = sample
	}
	if sample > h.estimate {
		h.estimate += h.estimate * hedgeStep * hedgeQuantile
		return
	}
	h.estimate -= h.estimate * hedgeStep * (1 - hedgeQuantile)
}

// After returns the time to wait for the first token before a hedge; 0 means that
// there are too few observations.
func (h *Hedge) After() time.Duration {
	if h.samples < hedgeMinSamples {
		return 0
	}
	return time.Duration(h.estimate)
}
