package scheduling

import (
	"context"

	"github.com/masticmount/masticmount/pkg/admission"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/routing"
)

// Baseline is the scheduler that others are compared with: a FIFO queue with least-outstanding routing.
type Baseline struct {
	Queue  *admission.FIFO
	Router *routing.LeastOutstanding
	View   func() *domain.View
}

// Run implements Scheduler. It has no background work and returns when ctx ends.
func (b *Baseline) Run(ctx context.Context) { <-ctx.Done() }

// Acquire implements Scheduler.
func (b *Baseline) Acquire(ctx context.Context, req Request) (Assignment, error) {
	release, err := b.Queue.Admit(ctx, req.Deadline)
	if err != nil {
		return Assignment{}, err
	}
	group, err := b.Router.Pick(b.View(), req.Route, req.Request)
	if err != nil {
		release()
		return Assignment{}, err
	}
	return Assignment{Group: group, Release: func(Report) {
		b.Router.Finish(group.Name)
		release()
	}}, nil
}
