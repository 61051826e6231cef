package attach

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// logConfirmation logs when the configuration becomes older than MaxChangeAge, with the state of each link, and when it
// is confirmed again.
func (a *Attachment) logConfirmation(now time.Time) {
	age := a.freshness.age(now)
	if a.opts.MaxChangeAge == 0 || age == neverConfirmed {
		return
	}
	unconfirmed := age > a.opts.MaxChangeAge
	switch {
	case unconfirmed && a.unconfirmedSince.IsZero():
		a.unconfirmedSince = now.Add(a.opts.MaxChangeAge - age)
		a.opts.Metrics.Add("config.unconfirmed", 1)
		a.opts.Log.Warn().Dur("age_ms", age).Uint64("version", a.View().Document.VersionOrZero()).Uint64("newest_reported", a.newest.Load()).
			Str("keepers", a.describeLinks(now)).Msg("configuration_unconfirmed")
	case !unconfirmed && !a.unconfirmedSince.IsZero():
		a.opts.Log.Info().Dur("unconfirmed_for_ms", now.Sub(a.unconfirmedSince)).Uint64("version", a.View().Document.VersionOrZero()).Msg("configuration_confirmed")
		a.unconfirmedSince = time.Time{}
	}
}

// describeLinks describes each link as "ADDRESS version V confirmed T ms ago".
func (a *Attachment) describeLinks(now time.Time) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	descriptions := make([]string, 0, len(a.links))
	for _, address := range slices.Sorted(maps.Keys(a.links)) {
		l := a.links[address]
		switch {
		case !l.attached.Load():
			descriptions = append(descriptions, address+" not attached")
		case l.freshness.age(now) == neverConfirmed:
			descriptions = append(descriptions, fmt.Sprintf("%s version %d never confirmed", address, l.version.Load()))
		default:
			descriptions = append(descriptions, fmt.Sprintf("%s version %d confirmed %d ms ago", address, l.version.Load(), l.freshness.age(now).Milliseconds()))
		}
	}
	return strings.Join(descriptions, ", ")
}
