package ring

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRejectNewKeepsQueuedItems(t *testing.T) {
	r := New[int](2, RejectNew)
	assert.True(t, r.Push(1))
	assert.True(t, r.Push(2))
	assert.False(t, r.Push(3))
	assert.Equal(t, uint64(1), r.Dropped())
	first, ok := r.Pop(context.Background())
	assert.True(t, ok)
	assert.Equal(t, 1, first)
}

func TestDropOldestEvictsOldestItems(t *testing.T) {
	r := New[int](2, DropOldest)
	for n := range 5 {
		assert.True(t, r.Push(n))
	}
	assert.Equal(t, uint64(3), r.Dropped())
	assert.Equal(t, 2, r.Len())
	first, _ := r.Pop(context.Background())
	assert.Equal(t, 3, first)
}

func TestPopReturnsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok := New[int](1, RejectNew).Pop(ctx)
	assert.False(t, ok)
}
