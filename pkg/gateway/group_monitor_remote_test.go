package gateway

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/domain"
)

// TestRemoteGroupCountsAsWhole checks that an attempt on a group of another failure
// domain is canceled only once the view no longer contains that group.
func TestRemoteGroupCountsAsWhole(t *testing.T) {
	remote := &domain.Group{Name: "fd-b/captions/1", Generation: 4, Whole: true}
	view := &domain.View{Version: 1, Remote: []*domain.Group{remote}}
	m := newGroupMonitor(func() *domain.View { return view })
	ctx, cancel := context.WithCancelCause(t.Context())
	stop := m.watch(remote, cancel)
	defer stop()
	m.check()
	assert.NoError(t, ctx.Err())
	view = &domain.View{Version: 2}
	m.check()
	assert.ErrorIs(t, context.Cause(ctx), errGroupBroke)
}
