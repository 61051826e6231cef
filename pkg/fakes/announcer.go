// Package fakes provides fake upstreams for tests, the demo and measurements: a
// model engine and a plain service.
package fakes

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/api"
)

// Announcer announces one upstream to entries.
type Announcer struct {
	// Entries are the administration addresses of the failure domain's entries.
	Entries []string
	Token   string
	// All announces to every entry. Otherwise the announcer uses one entry and fails
	// over to the next in the list when that entry does not accept; entries relay
	// announcements within their failure domain.
	All bool
	// First is the index of the first entry to use; different values spread the
	// upstreams over the entries.
	First int
	// failovers counts the changes of entry.
	failovers int
}

// Run announces the result of describe every api.AnnounceInterval until ctx ends. It
// sends nothing while describe returns silent.
func (a *Announcer) Run(ctx context.Context, describe func() (announcement api.Announcement, silent bool)) {
	tick := time.NewTicker(api.AnnounceInterval)
	defer tick.Stop()
	for sequence := uint64(1); ; sequence++ {
		if announcement, silent := describe(); !silent {
			announcement.Sequence = sequence
			a.announce(announcement)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Announcer) announce(announcement api.Announcement) {
	body, err := json.Marshal(announcement)
	if err != nil {
		return
	}
	for range a.Entries {
		entry := a.Entries[(a.First+a.failovers)%len(a.Entries)]
		if accepted := a.post(entry, body); accepted && !a.All {
			return
		}
		a.failovers++
	}
}

func (a *Announcer) post(entry string, body []byte) (accepted bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + entry + "/announce/v1")
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+a.Token)
	req.SetBodyRaw(body)
	err := fasthttp.DoTimeout(req, resp, api.AnnounceInterval)
	return err == nil && resp.StatusCode() == http.StatusNoContent
}
