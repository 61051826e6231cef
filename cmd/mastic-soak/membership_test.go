package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestEngineExecutesOrders(t *testing.T) {
	m, now := &membership{}, time.UnixMilli(0)
	join := order{Op: "join", Group: "g", Epoch: 2, Model: "m", Members: []string{"a", "b"}}
	open := order{Op: "open", Group: "g", Epoch: 2}
	assert.Equal(t, 202, m.execute(now, join, "a"))
	assert.Equal(t, 200, m.execute(now, join, "a"), "already joined")
	assert.Equal(t, 409, m.execute(now, open, "a"), "it is not ready")
	now = now.Add(loadTime)
	assert.False(t, m.serves(now, "m"))
	assert.Equal(t, 202, m.execute(now, open, "a"))
	now = now.Add(openTime)
	assert.Equal(t, 200, m.execute(now, open, "a"))
	assert.True(t, m.serves(now, "m"))
	assert.False(t, m.serves(now, "other"))
	assert.Equal(t, uint64(2), m.ordersBegun())

	other := join
	other.Members = []string{"a", "c"}
	assert.Equal(t, 412, m.execute(now, other, "a"), "other members of the same epoch")
	other.Epoch = 1
	assert.Equal(t, 412, m.execute(now, other, "a"), "a past epoch")
	expected := uint64(1)
	assert.Equal(t, 409, m.execute(now, order{Op: "close", Group: "g", Epoch: 2, Expected: &expected}, "a"))
	assert.Equal(t, 409, m.execute(now, order{Op: "close", Group: "g", Epoch: 1}, "a"))
	m.memberLost(now, "c")
	assert.True(t, m.serves(now, "m"))
	m.memberLost(now, "b")
	assert.False(t, m.serves(now, "m"), "a member is gone")
	m.restart()
	assert.Zero(t, m.ordersBegun())
	assert.Equal(t, map[string]any{"models": []map[string]any{}, "staged": []string{"m"}}, m.status(now))
}

func TestOnlyTheHeadServes(t *testing.T) {
	m, now := &membership{}, time.UnixMilli(0)
	assert.Equal(t, 202, m.execute(now, order{Op: "join", Group: "g", Epoch: 1, Model: "m", Members: []string{"a", "b"}}, "b"))
	now = now.Add(loadTime)
	assert.Equal(t, 409, m.execute(now, order{Op: "open", Group: "g", Epoch: 1}, "b"))
	assert.False(t, m.serves(now, "m"))
	assert.Equal(t, 200, m.execute(now, order{Op: "leave", Group: "g", Epoch: 1}, "b"))
	assert.Equal(t, 409, m.execute(now, order{Op: "leave", Group: "g", Epoch: 1}, "b"))
}

func TestOrdersThatCancelStreams(t *testing.T) {
	for name, row := range map[string]struct {
		order   order
		rank    int
		cancels bool
	}{
		"close, waiting":      {order{Op: "close", Mode: "wait", Group: "g", Epoch: 2}, 0, false},
		"close, cancelling":   {order{Op: "close", Mode: "cancel", Group: "g", Epoch: 2}, 0, true},
		"leave":               {order{Op: "leave", Group: "g", Epoch: 2}, 0, true},
		"leave, not the head": {order{Op: "leave", Group: "g", Epoch: 2}, 1, false},
		"of another epoch":    {order{Op: "leave", Group: "g", Epoch: 1}, 0, false},
	} {
		m := membership{group: "g", epoch: 2, rank: row.rank}
		assert.Equal(t, row.cancels, m.cancelsStreams(row.order), name)
	}
}

// A head that was closed with streams in progress reported ready at once, so that its coordinator took it for idle, had it
// leave its group and thereby cut the streams.
func TestHeadIsClosingUntilItsStreamsEnd(t *testing.T) {
	now := time.UnixMilli(0)
	waiting, cancelling := order{Op: "close", Mode: "wait", Group: "g", Epoch: 2}, order{Op: "close", Mode: "cancel", Group: "g", Epoch: 2}
	openHead := func(running int) *membership {
		m := &membership{group: "g", epoch: 2, model: "m", state: groupOpen}
		for range running {
			assert.True(t, m.begin(now, "m"))
		}
		return m
	}
	m := openHead(2)
	assert.Equal(t, 200, m.execute(now, waiting, "a"))
	assert.False(t, m.begin(now, "m"))
	assert.Equal(t, 409, m.execute(now, order{Op: "open", Group: "g", Epoch: 2}, "a"))
	for range 2 {
		assert.Equal(t, groupClosing, m.state)
		assert.True(t, m.heads(now, "g"), "no member may join another group")
		m.end()
	}
	assert.Equal(t, groupReady, m.state)
	assert.False(t, m.heads(now, "g"))

	m = openHead(0)
	assert.Equal(t, 200, m.execute(now, waiting, "a"))
	assert.Equal(t, groupReady, m.state, "nothing runs")

	m = openHead(1)
	assert.Equal(t, 200, m.execute(now, waiting, "a"))
	assert.Equal(t, 200, m.execute(now, cancelling, "a"))
	assert.Equal(t, groupReady, m.state, "cancelled")
	m.end()
	assert.Equal(t, groupReady, m.state)

	m = openHead(1)
	m.end()
	assert.Equal(t, groupOpen, m.state)
}
