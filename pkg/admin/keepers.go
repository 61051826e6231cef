package admin

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// KeeperOperator reports the status of the region log and changes its members.
type KeeperOperator interface {
	// KeeperStatus returns the status of the region log from its leader or, if no leader
	// is known, from a keeper.
	KeeperStatus(context.Context) (*peerpb.LogStatus, error)
	// ChangeKeepers applies one membership change.
	ChangeKeepers(context.Context, *peerpb.MembershipChange) error
}

// Keepers is the status of the region log.
type Keepers struct {
	// Node is the keeper that reported the status.
	Node    string         `json:"node"`
	Term    uint64         `json:"term"`
	Commit  uint64         `json:"commit"`
	Leader  string         `json:"leader"`
	Members []KeeperMember `json:"members"`
}

// KeeperMember is one member of the region log.
type KeeperMember struct {
	Node     string `json:"node"`
	Identity string `json:"identity"`
	Address  string `json:"address"`
	// Role is leader, voter or learner.
	Role string `json:"role"`
	// Match is the index of the last log entry that is known to be on the member's disk.
	// Only the leader knows it for other members.
	Match uint64 `json:"match"`
	// Answers is true if the member responded to the leader recently.
	Answers bool `json:"answers"`
}

// KeeperChange is the request body of a membership change.
type KeeperChange struct {
	// Action is add, promote or remove.
	Action string `json:"action"`
	// Node and Address identify the keeper to add.
	Node    string `json:"node,omitempty"`
	Address string `json:"address,omitempty"`
	// Identity is the member to promote or remove.
	Identity string `json:"identity,omitempty"`
}

var keeperActions = map[string]peerpb.MembershipChange_Action{
	"add":     peerpb.MembershipChange_ACTION_ADD_LEARNER,
	"promote": peerpb.MembershipChange_ACTION_PROMOTE,
	"remove":  peerpb.MembershipChange_ACTION_REMOVE,
}

func (a *Admin) keepers(c fiber.Ctx) error {
	status, err := a.opts.Keepers.KeeperStatus(c.Context())
	if err != nil {
		return err
	}
	return c.JSON(newKeepers(status))
}

func newKeepers(status *peerpb.LogStatus) Keepers {
	keepers := Keepers{Node: status.GetNodeId(), Term: status.GetTerm(), Commit: status.GetCommit()}
	for _, m := range status.GetMembership().GetMembers() {
		member := KeeperMember{
			Node: m.GetNodeId(), Identity: formatIdentity(m.GetIdentity()), Address: m.GetAddress(), Role: "voter",
			Match: status.GetMatch()[m.GetIdentity()], Answers: status.GetAnswers()[m.GetIdentity()],
		}
		switch {
		case m.GetIdentity() == status.GetLeader():
			member.Role, keepers.Leader = "leader", m.GetNodeId()
		case m.GetLearner():
			member.Role = "learner"
		}
		keepers.Members = append(keepers.Members, member)
	}
	slices.SortFunc(keepers.Members, func(x, y KeeperMember) int {
		return slices.Compare([]string{x.Node, x.Identity}, []string{y.Node, y.Identity})
	})
	return keepers
}

func (a *Admin) changeKeepers(c fiber.Ctx) error {
	var body KeeperChange
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return fault.New(fault.InvalidRequest, "send the change as JSON", "the body is not valid JSON").WithCause(err)
	}
	action, ok := keeperActions[body.Action]
	if !ok {
		return fault.New(fault.InvalidRequest, "use add, promote or remove", "unknown action %q", body.Action)
	}
	identity, err := parseIdentity(body.Identity)
	if err != nil {
		return err
	}
	change := &peerpb.MembershipChange{Action: action, NodeId: body.Node, Address: body.Address, Identity: identity}
	if err := a.opts.Keepers.ChangeKeepers(c.Context(), change); err != nil {
		return err
	}
	a.opts.Log.Info().Str("action", body.Action).Str("keeper", body.Node).Str("identity", body.Identity).Msg("keepers_changed")
	return a.keepers(c)
}

func formatIdentity(identity uint64) string { return strconv.FormatUint(identity, 16) }

func parseIdentity(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	identity, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fault.New(fault.InvalidRequest, "copy it from 'masticmount keepers status'", "%q is not a keeper identity", text)
	}
	return identity, nil
}
