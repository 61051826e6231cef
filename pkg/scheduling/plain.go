package scheduling

import (
	"context"

	"github.com/masticmount/masticmount/pkg/admission"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/routing"
)

// Plain is the baseline scheduler: a FIFO queue with least-outstanding routing.
type Plain struct {
	Queue  *admission.FirstCome
	Router *routing.LeastOutstanding
	View   func() *domain.View
}

// Run implements Scheduler. It has no background work and returns when ctx ends.
func (p *Plain) Run(ctx context.Context) { <-ctx.Done() }

// Acquire implements Scheduler.
func (p *Plain) Acquire(ctx context.Context, req Request) (Assignment, error) {
	release, err := p.Queue.Admit(ctx, req.Deadline)
	if err != nil {
		return Assignment{}, err
	}
	group, err := p.Router.Pick(p.View(), req.Route, req.Request)
	if err != nil {
		release()
		return Assignment{}, err
	}
	return Assignment{Group: group, Done: func(Report) {
		p.Router.Done(group.Name)
		release()
	}}, nil
}
