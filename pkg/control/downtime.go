package control

import (
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/grouping"
)

// downtime measures for how long models lack groups that they lost: each group that opens
// ends the oldest loss of its model.
type downtime struct {
	// losses holds the losses of each model, the oldest first.
	losses map[string][]groupLoss
}

// groupLoss is a group that stopped serving, and when.
type groupLoss struct {
	group string
	at    time.Time
}

// maxLosses bounds the open losses of a model.
const maxLosses = 256

// record records a change of a group. When the change ends a loss, it returns the model and
// how long the loss lasted.
func (d *downtime) record(now time.Time, e grouping.Event) (model string, lasted time.Duration, ended bool) {
	model, _, ok := grouping.ParseGroupName(e.Group)
	if !ok {
		return "", 0, false
	}
	if d.losses == nil {
		d.losses = map[string][]groupLoss{}
	}
	losses := d.losses[model]
	recorded := slices.ContainsFunc(losses, func(l groupLoss) bool { return l.group == e.Group })
	switch {
	case (e.Change == "broken" || e.Change == "draining") && !recorded && len(losses) < maxLosses:
		d.losses[model] = append(losses, groupLoss{e.Group, now})
	case e.Change == "open" && len(losses) > 0:
		d.losses[model] = losses[1:]
		return model, now.Sub(losses[0].at), true
	}
	return "", 0, false
}
