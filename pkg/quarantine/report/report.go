// Package report logs the findings of a quarantine.Table and publishes them as metrics.
package report

import (
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/masticmount/masticmount/pkg/quarantine"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

// Changes has the table delete expired evidence, logs the quarantines that began, were confirmed or ended since
// the last call, and sets the gauges quarantine.parts, quarantine.requests, quarantine.unconfirmed and quarantine.crashes.
func Changes(now time.Time, t *quarantine.Table, metrics *telemetry.Registry, log zerolog.Logger) {
	for _, c := range t.Changes(now) {
		kind := "prompt_part"
		if quarantine.IsRequest(c.Content) {
			kind = "request"
		}
		event := "_released"
		if c.Quarantined {
			event = "_quarantined"
			if !c.Confirmed {
				metrics.Add("quarantine.begun", 1)
			}
		}
		Fields(now, c.Finding, log.Warn()).Msg(kind + event)
	}
	parts, requests := t.Quarantined()
	metrics.Set("quarantine.parts", int64(parts))
	metrics.Set("quarantine.requests", int64(requests))
	metrics.Set("quarantine.unconfirmed", int64(t.AwaitingTrial()))
	metrics.Set("quarantine.crashes", int64(t.Crashes()))
}

// Fields adds the evidence of a finding to a log line.
func Fields(now time.Time, f quarantine.Finding, line *zerolog.Event) *zerolog.Event {
	return line.Str("part", f.Content).Str("companions", strings.Join(f.Companions, ",")).Int("crashes", f.Crashes).
		Str("crashed", strings.Join(f.Upstreams, ",")).Dur("first_crash_age_ms", now.Sub(f.First)).Dur("last_crash_age_ms", now.Sub(f.Last)).
		Dur("quarantined_for_ms", max(f.Until.Sub(now), 0)).Bool("confirmed", f.Confirmed).Bool("answered_before", f.Answered).Bool("unconfirmed", f.Unconfirmed)
}
