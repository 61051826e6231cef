package gateway

import (
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

// Histograms per client account and class.
const (
	seriesQueueing      = "queueing"
	seriesFirstToken    = "first_token"
	seriesBetweenTokens = "between_tokens"
	seriesTotal         = "whole"
)

// timings holds the durations of one request.
type timings struct {
	series        telemetry.Series
	betweenTokens *telemetry.Histogram
	queued        time.Duration
	lastToken     time.Time
}

func (g *Gateway) newTimings(req *request) timings {
	return timings{series: telemetry.Series{Account: req.account, Class: req.route.Spec.Class}}
}

func (s *session) observe(name string, d time.Duration) {
	if s.g.opts.Metrics == nil {
		return
	}
	series := s.timings.series
	series.Name = name
	s.g.opts.Metrics.Observe(series, d)
}

// observeToken records the latency of an event that is delivered to the client.
func (s *session) observeToken(now time.Time) {
	t := &s.timings
	if sl := s.slot; sl != nil {
		sl.tokens++
		if sl.tokens == 1 {
			sl.firstToken = now.Sub(sl.started)
		}
	}
	if t.lastToken.IsZero() {
		s.observe(seriesFirstToken, now.Sub(s.req.arrived))
	} else if s.g.opts.Metrics != nil {
		if t.betweenTokens == nil {
			series := t.series
			series.Name = seriesBetweenTokens
			t.betweenTokens = s.g.opts.Metrics.Histogram(series)
		}
		t.betweenTokens.Record(now.Sub(t.lastToken))
	}
	t.lastToken = now
}

// recordEnd records the end of the request in the histograms and in the log.
func (s *session) recordEnd() {
	total := time.Since(s.req.arrived)
	outcome := fault.Ran
	switch {
	case s.refusal != nil:
		outcome = s.refusal.Outcome
	case s.answer != nil:
		outcome = outcomeOf(s.answer.Status)
	case s.discarded:
		outcome = fault.Unknown
	}
	if s.releaseLimit != nil {
		s.observe(seriesQueueing, s.timings.queued)
	}
	if s.refusal == nil && !s.discarded {
		s.observe(seriesTotal, total)
	}
	s.g.opts.Log.Info().Str("request_id", s.req.id).Str("account", s.req.account).Str("class", s.timings.series.Class).
		Str("route", s.req.route.Name).Str("outcome", string(outcome)).Bool("caller_left", s.discarded).Int("attempts", s.attempts).
		Int("tokens", s.machine.Delivered()).Dur("queued_ms", s.timings.queued).Dur("took_ms", total).Msg("request_ended")
}

func (g *Gateway) countRefusal(e *fault.Error) {
	if g.opts.Metrics != nil {
		g.opts.Metrics.Add("refusals."+string(e.Kind), 1)
	}
}
