package admission

const (
	// medianStep is the relative step of a median estimate per observation.
	medianStep = 0.05
	// meanStep is the weight of a new observation in a mean.
	meanStep = 0.05
	// defaultSize is the prediction, in tokens, without observations.
	defaultSize = 256
	// maxSeries bounds the number of pairs of account and class that are tracked.
	maxSeries = 4096
)

// Sizes learns how many tokens the requests of each account and class take. The
// limit that a request states is only an upper bound.
type Sizes struct {
	series map[seriesKey]*series
}

type seriesKey struct{ account, class string }

type series struct{ median, mean float64 }

// Prediction is the expected size of one request in tokens.
type Prediction struct {
	// Median is the typical size; stragglers hardly affect it.
	Median float64
	// Mean includes the stragglers.
	Mean float64
}

// NewSizes returns a Sizes without observations.
func NewSizes() *Sizes { return &Sizes{series: map[seriesKey]*series{}} }

// Predict returns the expected size of a request that allows limit tokens; 0 means
// no limit.
func (s *Sizes) Predict(account, class string, limit int) Prediction {
	p := Prediction{Median: defaultSize, Mean: defaultSize}
	if known := s.series[seriesKey{account, class}]; known != nil {
		p = Prediction{Median: known.median, Mean: known.mean}
	}
	if limit > 0 {
		p.Median, p.Mean = min(p.Median, float64(limit)), min(p.Mean, float64(limit))
	}
	return p
}

// Observe records the size of a finished request.
func (s *Sizes) Observe(account, class string, tokens int) {
	observed := float64(tokens)
	key := seriesKey{account, class}
	known := s.series[key]
	if known == nil {
		if len(s.series) < maxSeries {
			s.series[key] = &series{median: observed, mean: observed}
		}
		return
	}
	known.mean += meanStep * (observed - known.mean)
	step := max(known.median*medianStep, 1)
	if observed < known.median {
		step = -step
	}
	known.median = max(known.median+step, 1)
}
