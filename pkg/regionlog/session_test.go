package regionlog

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// TestSessions replays the sessions in testdata and compares the resulting actions.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{}
		datadriven.RunTest(t, path, s.run)
	})
}

// session runs a network by text commands.
type session struct {
	*network
	t   *testing.T
	out strings.Builder
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	s.out.Reset()
	s.t = t
	s.perform(d)
	if s.violation != nil {
		fmt.Fprintf(&s.out, "VIOLATION: %v\n", s.violation)
		s.violation = nil
	}
	if s.out.Len() == 0 {
		return "ok\n"
	}
	return s.out.String()
}

// perform runs one event; a panic of the machine counts as a violation.
func (s *session) perform(d *datadriven.TestData) {
	defer func() {
		if r := recover(); r != nil {
			s.fail("%v", r)
		}
	}()
	if d.Cmd == "new" {
		s.create(d)
		return
	}
	s.runCommand(d)
}

func (s *session) create(d *datadriven.TestData) {
	var faultName string
	voters := 3
	d.MaybeScanArgs(s.t, "voters", &voters)
	d.MaybeScanArgs(s.t, "flaw", &faultName)
	s.network = newNetwork(injectedFault(faultName), voters)
	s.onRefused = func(k *keeperNode, m *peerpb.LogMessage, err error) {
		fmt.Fprintf(&s.out, "%d: refuses %s: %v\n", k.identity, messageName(m), err)
	}
	s.onReady = s.printReady
}

func (s *session) runCommand(d *datadriven.TestData) {
	k := s.keeper(d)
	switch d.Cmd {
	case "expire":
		s.expireLeaderLeases()
	case "tick":
		for range s.intArg(d, "n", 1) {
			s.tick(k)
		}
	case "elect":
		s.elect(k)
	case "propose":
		s.propose(k, d.CmdArgs[1].Key, int64(s.intArg(d, "skew", 0)), crashPoint(s.intArg(d, "kill", 0)))
	case "read":
		s.read(k)
	case "deliver":
		s.deliverMatching(d)
	case "drop":
		s.inFlight = lo.Filter(s.inFlight, func(m *peerpb.LogMessage, _ int) bool { return !s.matches(d, m) })
	case "cut":
		s.cutLinks(d)
	case "heal":
		clear(s.cut)
	case "crash":
		s.crash(k)
	case "start":
		s.start(k)
		s.processReady(k, crashNever)
	case "freeze":
		k.frozen = true
	case "thaw":
		k.frozen = false
		s.processReady(k, crashNever)
	case "lose-disk":
		s.loseDisk(k)
	case "repair":
		s.repair()
	case "remove":
		s.changeMembership(k, peerpb.MembershipChange_ACTION_REMOVE, uint64(s.intArg(d, "member", 0)))
	case "transfer":
		if err := k.machine.Transfer(uint64(s.intArg(d, "to", 0))); err != nil {
			fmt.Fprintln(&s.out, "refused:", err)
		}
		s.processReady(k, crashNever)
	case "compact":
		s.compact(k, uint64(s.intArg(d, "keep", 0)))
	case "settle":
		s.onReady = func(*keeperNode, Ready) {}
		s.converge()
		s.onReady = s.printReady
	case "status":
		s.status()
	default:
		s.t.Fatalf("unknown event %q", d.Cmd)
	}
}

func (s *session) keeper(d *datadriven.TestData) *keeperNode {
	if len(d.CmdArgs) == 0 {
		return nil
	}
	id, _ := strconv.ParseUint(d.CmdArgs[0].Key, 10, 64)
	return s.nodes[id]
}

func (s *session) intArg(d *datadriven.TestData, key string, fallback int) int {
	d.MaybeScanArgs(s.t, key, &fallback)
	return fallback
}

// elect ticks a keeper until its election timeout, without delivering messages.
func (s *session) elect(k *keeperNode) {
	term, role := k.machine.term, k.machine.role
	for k.machine.term == term && k.machine.role == role {
		s.tick(k)
	}
}

// expireLeaderLeases lets every follower's leader lease expire.
func (s *session) expireLeaderLeases() {
	for _, id := range s.ids() {
		if k := s.nodes[id]; k.machine != nil && k.machine.role != Leader {
			k.machine.electionElapsed = max(k.machine.electionElapsed, testElectionTicks)
		}
	}
}

func (s *session) changeMembership(k *keeperNode, action peerpb.MembershipChange_Action, identity uint64) {
	change := &peerpb.MembershipChange{Action: action, Identity: identity}
	if _, _, err := k.machine.ProposeMembership(k.clock, change); err != nil {
		fmt.Fprintln(&s.out, "refused:", err)
	}
	s.processReady(k, crashNever)
}

// matches reports whether a message matches from=, to= and kind= of an event.
func (s *session) matches(d *datadriven.TestData, m *peerpb.LogMessage) bool {
	from, to := s.intArg(d, "from", 0), s.intArg(d, "to", 0)
	kind := ""
	d.MaybeScanArgs(s.t, "kind", &kind)
	return (from == 0 || uint64(from) == m.GetFrom()) && (to == 0 || uint64(to) == m.GetTo()) && (kind == "" || kind == kindName(m))
}

// deliverMatching delivers the matching messages and, without n=, also the matching
// messages sent as a result.
func (s *session) deliverMatching(d *datadriven.TestData) {
	const limit = 1000
	for range s.intArg(d, "n", limit) {
		_, i, found := lo.FindIndexOf(s.inFlight, func(m *peerpb.LogMessage) bool { return s.matches(d, m) && !s.recipientFrozen(m) })
		if !found {
			return
		}
		s.deliver(i, false)
	}
}

// recipientFrozen reports whether a message's recipient is frozen.
func (s *session) recipientFrozen(m *peerpb.LogMessage) bool {
	to := s.nodes[m.GetTo()]
	return to != nil && to.frozen
}

// cutLinks cuts the link from= to= in one direction, or all links of a keeper in both.
func (s *session) cutLinks(d *datadriven.TestData) {
	from, to := uint64(s.intArg(d, "from", 0)), uint64(s.intArg(d, "to", 0))
	if from == 0 {
		s.isolate(s.keeper(d))
		return
	}
	s.cut[[2]uint64{from, to}] = true
}

// printReady prints the actions of a Ready batch.
func (s *session) printReady(k *keeperNode, r Ready) {
	line := func(format string, args ...any) {
		fmt.Fprintf(&s.out, "%d: "+format+"\n", append([]any{k.identity}, args...)...)
	}
	if r.Snapshot != nil {
		line("install snapshot %d/%d", r.Snapshot.GetTerm(), r.Snapshot.GetIndex())
	}
	if r.MustSync {
		line("sync term=%d vote=%d entries=[%s]", k.machine.term, k.machine.vote, entryNames(r.Entries))
	}
	for _, m := range r.Messages {
		line("send %s", messageName(m))
	}
	if len(r.Committed) > 0 {
		line("apply [%s]", entryNames(r.Committed))
	}
	for _, read := range r.Reads {
		line("read %d confirmed at %d", read.ID, read.Index)
	}
}

func entryNames(entries []*peerpb.LogEntry) string {
	return strings.Join(lo.Map(entries, func(e *peerpb.LogEntry, _ int) string {
		content := string(e.GetData())
		switch e.GetKind() {
		case peerpb.EntryKind_ENTRY_KIND_NOOP:
			content = "noop"
		case peerpb.EntryKind_ENTRY_KIND_MEMBERSHIP:
			content = "members"
		}
		return fmt.Sprintf("%d/%d:%s", e.GetTerm(), e.GetIndex(), content)
	}), " ")
}

func kindName(m *peerpb.LogMessage) string {
	name := strings.TrimPrefix(m.GetKind().String(), "MESSAGE_KIND_")
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}

func messageName(m *peerpb.LogMessage) string {
	text := fmt.Sprintf("%s to=%d term=%d", kindName(m), m.GetTo(), m.GetTerm())
	if m.GetIndex() > 0 {
		text += fmt.Sprintf(" at=%d/%d", m.GetLogTerm(), m.GetIndex())
	}
	if len(m.GetEntries()) > 0 {
		text += " entries=[" + entryNames(m.GetEntries()) + "]"
	}
	if m.GetCommit() > 0 {
		text += fmt.Sprintf(" commit=%d", m.GetCommit())
	}
	if m.GetReject() {
		text += " reject"
	}
	return text
}

func (s *session) status() {
	for _, id := range s.ids() {
		k := s.nodes[id]
		if k.machine == nil {
			fmt.Fprintf(&s.out, "%d: down\n", id)
			continue
		}
		m := k.machine
		fmt.Fprintf(&s.out, "%d: %s term=%d leader=%d log=%d/%d commit=%d voters=%v state=%v\n",
			id, m.role, m.term, m.leader, m.log.lastTerm(), m.log.last(), m.log.commit, Voters(m.log.membership()), k.state)
	}
}
