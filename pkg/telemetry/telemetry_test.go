package telemetry

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type published struct {
	Counters   map[string]int64 `json:"counters"`
	Histograms []summary        `json:"histograms"`
}

func decode(t *testing.T, r *Registry) published {
	var s published
	require.NoError(t, json.Unmarshal([]byte(r.String()), &s))
	return s
}

func TestHistogramsForEachAccountAndClass(t *testing.T) {
	r := New("")
	for i := range 100 {
		r.Observe(Series{Name: "whole", Account: "school", Class: "caption"}, time.Duration(i+1)*time.Millisecond)
	}
	r.Observe(Series{Name: "whole", Account: "clinic", Class: "caption"}, 2*maxDuration)
	r.Add("refusals.overloaded", 2)
	s := decode(t, r)
	require.EqualValues(t, 2, s.Counters["refusals.overloaded"])
	require.Len(t, s.Histograms, 2)
	require.Equal(t, "clinic", s.Histograms[0].Account, "histograms are sorted by name and account")
	require.InEpsilon(t, 50_000, s.Histograms[1].P50, 0.02)
	require.EqualValues(t, 100, s.Histograms[1].Count)
}

func TestSeriesAreBounded(t *testing.T) {
	r := New("")
	for i := range 3 * maxSeries {
		r.Observe(Series{Name: "whole", Account: fmt.Sprint(i)}, time.Millisecond)
	}
	s := decode(t, r)
	require.LessOrEqual(t, len(s.Histograms), maxSeries+1)
	require.Equal(t, otherAccounts, s.Histograms[0].Account)
	require.EqualValues(t, 2*maxSeries, s.Histograms[0].Count)
}

func TestConcurrentUse(t *testing.T) {
	r := New("")
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for i := range 1000 {
				r.Observe(Series{Name: "whole", Account: fmt.Sprint(i % 7)}, time.Millisecond)
				if i%100 == 0 {
					_ = r.String()
				}
			}
		})
	}
	workers.Wait()
	total := int64(0)
	for _, h := range decode(t, r).Histograms {
		total += h.Count
	}
	require.EqualValues(t, 8000, total)
}
