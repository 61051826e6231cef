package admin

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/state"
)

// Change is the request body for changing one object.
type Change struct {
	// ChangeID makes retries of a change idempotent: they return the first result. If it
	// is empty, an identifier is generated.
	ChangeID string `json:"change_id,omitempty"`
	// ExpectedRevision is the object's revision that the change is based on.
	ExpectedRevision uint64          `json:"expected_revision"`
	Spec             json.RawMessage `json:"spec,omitempty"`
}

// Accepted is the response to a change.
type Accepted struct {
	ChangeID       string `json:"change_id"`
	Revision       uint64 `json:"revision"`
	ObjectRevision uint64 `json:"object_revision"`
	Repeated       bool   `json:"repeated,omitempty"`
	// InForce is true if the change is already in force on the responding node.
	InForce bool `json:"in_force"`
}

const (
	// inForceWait limits how long a response waits for the change to be in force on the
	// responding node, so that the operator's next query shows it.
	inForceWait = 2 * time.Second
	// inForcePoll is the polling interval for the revision in force.
	inForcePoll = 5 * time.Millisecond
)

func (a *Admin) apply(c fiber.Ctx) error {
	return a.change(c, false)
}

func (a *Admin) remove(c fiber.Ctx) error {
	return a.change(c, true)
}

func (a *Admin) change(c fiber.Ctx, remove bool) error {
	var body Change
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return fault.New(fault.InvalidRequest, "send the change as JSON", "the body is not valid JSON").WithCause(err)
	}
	kind, name, err := objectParams(c)
	if err != nil {
		return err
	}
	if !remove {
		if err := state.CheckSpec(api.Kind(kind), name, body.Spec); err != nil {
			return fault.New(fault.InvalidRequest, "correct the spec", "%v", err)
		}
	}
	if body.ChangeID == "" {
		body.ChangeID = uuid.NewString()
	}
	res, err := a.opts.Propose(c.Context(), &peerpb.Command{Body: &peerpb.Command_ConfigChange{ConfigChange: &peerpb.ConfigChange{
		ChangeId: body.ChangeID, Kind: kind, Name: name,
		ExpectedRevision: body.ExpectedRevision, Delete: remove, Spec: body.Spec,
	}}})
	if err != nil {
		return err
	}
	if res.GetFaultKind() != "" {
		return fault.New(fault.Kind(res.GetFaultKind()), res.GetFaultRemedy(), "%s", res.GetFaultDetail())
	}
	a.opts.Log.Info().Str("change_id", body.ChangeID).Str("object", kind+"/"+name).Uint64("revision", res.GetRevision()).Msg("change_accepted")
	return c.JSON(Accepted{
		ChangeID: body.ChangeID, Revision: res.GetRevision(),
		ObjectRevision: res.GetObjectRevision(), Repeated: res.GetRepeated(),
		InForce: a.awaitInForce(res.GetRevision()),
	})
}

// awaitInForce waits up to inForceWait and reports whether the revision is in force on
// this node.
func (a *Admin) awaitInForce(revision uint64) bool {
	for end := time.Now().Add(inForceWait); time.Now().Before(end); time.Sleep(inForcePoll) {
		if a.opts.Config().Revision >= revision {
			return true
		}
	}
	return false
}

// objectParams returns the kind and the name in the path. It copies them because the HTTP
// library reuses its buffer.
func objectParams(c fiber.Ctx) (kind, name string, err error) {
	kind = strings.Clone(c.Params("kind"))
	if name, err = url.PathUnescape(c.Params("name")); err != nil {
		return "", "", fault.New(fault.InvalidRequest, "percent-encode the name", "the name in the path is not valid").WithCause(err)
	}
	if !lo.Contains(api.Kinds, api.Kind(kind)) {
		return "", "", fault.New(fault.InvalidRequest, fmt.Sprintf("use one of %v", api.Kinds), "unknown kind %q", kind)
	}
	return kind, strings.Clone(name), nil
}

func (a *Admin) announce(c fiber.Ctx) error {
	announcement, err := api.ParseAnnouncement(c.Body())
	if err != nil {
		return fault.New(fault.InvalidRequest, "correct the announcement", "%v", err).WithRetryAfter(time.Second)
	}
	a.opts.Announce(announcement)
	return c.SendStatus(fiber.StatusNoContent)
}
