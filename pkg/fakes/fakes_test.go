package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/dispatch"
)

func TestBatchTakesPriorityThenArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatch(1, 100)
		leave, ok := b.join(t.Context(), 0, 10)
		require.True(t, ok)
		var order []string
		join := func(name string, priority int) {
			go func() {
				leave, _ := b.join(context.Background(), priority, 10)
				order = append(order, name)
				leave()
			}()
			synctest.Wait()
		}
		join("low", 9)
		join("high", 1)
		join("high too", 1)
		leave()
		synctest.Wait()
		require.Equal(t, []string{"high", "high too", "low"}, order)
	})
}

func TestBatchIsBoundedByKVCache(t *testing.T) {
	b := newBatch(8, 100)
	leave, ok := b.join(t.Context(), 0, 80)
	require.True(t, ok)
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok = b.join(expired, 0, 30)
	require.False(t, ok, "a slot is free but the KV cache is full")
	leave()
	_, ok = b.join(t.Context(), 0, 30)
	require.True(t, ok)
	running, waiting, used := b.load()
	require.Equal(t, 1, running)
	require.Zero(t, waiting)
	require.InDelta(t, 0.3, used, 1e-9)
}

func TestPrefixCacheDropsEvents(t *testing.T) {
	p := newPrefixCache(2, 3)
	prompt := string(bytes.Repeat([]byte("x"), 3*prefixBlockBytes))
	hits, blocks := p.use(prompt)
	require.Equal(t, []int{0, 3}, []int{hits, blocks})
	var sequences []uint64
	for _, e := range p.drain() {
		sequences = append(sequences, e.Sequence)
	}
	require.Equal(t, []uint64{1, 2, 4}, sequences, "event 3 is dropped")
	require.Empty(t, p.drain())
}

func order(t *testing.T, e *Engine, o api.Order) int {
	body, err := json.Marshal(o)
	require.NoError(t, err)
	resp, err := e.App().Test(httptest.NewRequest(http.MethodPost, dispatch.OrderPath, bytes.NewReader(body)), fiber.TestConfig{})
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

func TestOrdersWithAndWithoutFencing(t *testing.T) {
	for honours, old := range map[bool]int{true: http.StatusPreconditionFailed, false: http.StatusOK} {
		e := NewEngine(EngineOptions{Describe: api.Announcement{HonoursFencing: honours}, Slots: 1})
		require.Equal(t, http.StatusOK, order(t, e, api.Order{Fence: 5, Group: "g"}))
		require.Equal(t, old, order(t, e, api.Order{Fence: 4, Group: "h"}))
	}
}

func TestOrderIsAnnouncedOnceLoaded(t *testing.T) {
	e := NewEngine(EngineOptions{Slots: 1, LoadTime: time.Hour})
	require.Equal(t, http.StatusOK, order(t, e, api.Order{Fence: 5, Group: "g", Service: "captioner"}))
	a, _ := e.Describe()
	require.Equal(t, uint64(5), a.Fence)
	require.Empty(t, a.Group, "the model is not loaded yet")
}

func TestDeadFakeSendsNoAnnouncements(t *testing.T) {
	e := NewEngine(EngineOptions{Slots: 1})
	e.Set(Faults{Dead: true})
	_, silent := e.Describe()
	require.True(t, silent)
}

func TestAnnouncerFailsOver(t *testing.T) {
	var got [3]int
	accepts := [3]bool{false, true, true}
	var entries []string
	for i := range got {
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			got[i]++
			if !accepts[i] {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		}))
		defer entry.Close()
		entries = append(entries, entry.Listener.Addr().String())
	}
	one := &Announcer{Entries: entries}
	one.announce(api.Announcement{})
	one.announce(api.Announcement{})
	require.Equal(t, [3]int{1, 2, 0}, got, "the announcer stays with the entry that accepted")
	all := &Announcer{Entries: entries, All: true}
	all.announce(api.Announcement{})
	require.Equal(t, [3]int{2, 3, 1}, got)
	second := &Announcer{Entries: entries, First: 2}
	second.announce(api.Announcement{})
	require.Equal(t, [3]int{2, 3, 2}, got)
}

func FuzzOrder(f *testing.F) {
	f.Add([]byte(`{"fence":1,"group":"g","members":["a"]}`))
	f.Add([]byte(`{"fence":-1}`))
	f.Add([]byte(`[`))
	e := NewEngine(EngineOptions{Slots: 1, Describe: api.Announcement{HonoursFencing: true}})
	f.Fuzz(func(t *testing.T, body []byte) {
		before, _ := e.Describe()
		resp, err := e.App().Test(httptest.NewRequest(http.MethodPost, dispatch.OrderPath, bytes.NewReader(body)), fiber.TestConfig{})
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		after, _ := e.Describe()
		require.GreaterOrEqual(t, after.Fence, before.Fence, "a fencing number never decreases")
	})
}
