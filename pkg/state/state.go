// Package state implements the replicated state machine of the region log. It is
// deterministic: equal commands give equal results on every keeper. It reads no
// clock; time is the leader's time in the commands.
package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/limits/share"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// objectKey identifies a configuration object.
type objectKey struct {
	kind api.Kind
	name string
}

func (k objectKey) String() string { return string(k.kind) + "/" + k.name }

// Machine holds the replicated state. It is not safe for concurrent use.
type Machine struct {
	// nowMS is the highest leader time applied.
	nowMS  int64
	config *Config
	// stored holds the accepted objects in their encoded form, as sent to watchers.
	stored  map[objectKey]*peerpb.ConfigObject
	changes *changeLog
	history History
	claims  *claims.Table
	shares  *share.Table
	// document is the operators' configuration document, or nil if there is none yet.
	document   *peerpb.DocumentChange
	departures departures
	faults     injectedFaults
}

// injectedFaults disables single safeguards. Tests use it to verify that their
// checks detect the fault.
type injectedFaults struct {
	omitChangesFromSnapshot bool
	omitSpentFromSnapshot   bool
	skipRevisionCheck       bool
	reapplyResentChange     bool
}

// New returns an empty machine.
func New() *Machine {
	return &Machine{
		config:  EmptyConfig(),
		stored:  map[objectKey]*peerpb.ConfigObject{},
		changes: newChangeLog(),
		claims:  claims.NewTable(),
		shares:  share.NewTable(),
	}
}

// Apply executes a committed command and returns its result. The log index is not
// used.
func (m *Machine) Apply(_ uint64, cmd *peerpb.Command) *peerpb.Result {
	m.nowMS = max(m.nowMS, cmd.GetLeaderTimeMs())
	m.claims.Prune(m.nowMS)
	switch body := cmd.GetBody().(type) {
	case *peerpb.Command_ConfigChange:
		return m.applyChange(body.ConfigChange)
	case *peerpb.Command_Claim:
		res := m.claims.Apply(m.nowMS, body.Claim)
		res.Revision = m.config.Revision
		return res
	case *peerpb.Command_ShareReport:
		grants := m.shares.Apply(m.nowMS, m.config.Limits, body.ShareReport)
		grants.Revision = m.config.Revision
		return &peerpb.Result{Revision: m.config.Revision, Shares: grants}
	case *peerpb.Command_DocumentChange:
		return m.applyDocument(body.DocumentChange)
	case *peerpb.Command_Departure:
		m.departures.apply(m.nowMS, body.Departure)
		return &peerpb.Result{Revision: m.config.Revision}
	default:
		return &peerpb.Result{Revision: m.config.Revision}
	}
}

// applyChange does a compare-and-set on the object's revision. A change that was
// handled before gets its first result again, so that a resend is not applied twice.
func (m *Machine) applyChange(c *peerpb.ConfigChange) *peerpb.Result {
	if err := validateChange(c); err != nil {
		return m.rejection(fault.InvalidRequest, "correct the change", "%v", err)
	}
	if first := m.changes.find(c.GetChangeId()); first != nil && !m.faults.reapplyResentChange {
		if result, same := firstResult(first, c); same {
			return result
		}
		return m.rejection(fault.KeyReused, "use a new change identifier for a new change",
			"change identifier %q belongs to another change", c.GetChangeId())
	}
	res := m.compareAndSet(c)
	m.changes.add(&peerpb.ChangeRecord{ChangeId: c.GetChangeId(), AtMs: m.nowMS, Digest: changeDigest(c), Result: res})
	return res
}

func (m *Machine) compareAndSet(c *peerpb.ConfigChange) *peerpb.Result {
	key := objectKey{api.Kind(c.GetKind()), c.GetName()}
	current := m.stored[key]
	if current.GetRevision() != c.GetExpectedRevision() && !m.faults.skipRevisionCheck {
		res := m.rejection(fault.Conflict, "get the object, make the change on its new revision",
			"%s is at revision %d, the change expected %d", key, current.GetRevision(), c.GetExpectedRevision())
		res.ObjectRevision = current.GetRevision()
		return res
	}
	if c.GetDelete() && current == nil {
		return m.rejection(fault.NotFound, "check the kind and the name", "no %s", key)
	}
	event := m.changeEvent(key, c)
	next, err := m.compile(c, event)
	if err != nil {
		return m.rejection(fault.InvalidRequest, "correct the change", "%v", err)
	}
	m.accept(key, event, next)
	res := &peerpb.Result{Revision: m.config.Revision}
	if !c.GetDelete() {
		res.ObjectRevision = res.Revision
	}
	return res
}

// compile returns the configuration after a change. Watchers compile the same
// objects with the same code, so they can apply every accepted change.
func (m *Machine) compile(c *peerpb.ConfigChange, event *peerpb.WatchEvent) (*Config, error) {
	if err := m.config.checkReferences(c); err != nil {
		return nil, err
	}
	return m.config.With(event)
}

func (m *Machine) changeEvent(key objectKey, c *peerpb.ConfigChange) *peerpb.WatchEvent {
	event := &peerpb.WatchEvent{FromRevision: m.config.Revision, Revision: m.config.Revision + 1}
	if c.GetDelete() {
		event.Deleted = []string{key.String()}
		return event
	}
	event.Objects = []*peerpb.ConfigObject{{Kind: c.GetKind(), Name: c.GetName(), Revision: event.Revision, Spec: c.GetSpec()}}
	return event
}

func (m *Machine) accept(key objectKey, event *peerpb.WatchEvent, next *Config) {
	m.config = next
	delete(m.stored, key)
	for _, o := range event.GetObjects() {
		m.stored[key] = o
	}
	m.history.Add(event)
}

func (m *Machine) rejection(kind fault.Kind, remedy, format string, args ...any) *peerpb.Result {
	return &peerpb.Result{
		Revision: m.config.Revision, FaultKind: string(kind), FaultRemedy: remedy, FaultDetail: fmt.Sprintf(format, args...),
	}
}

// Revision returns the revision of the last accepted change.
func (m *Machine) Revision() uint64 { return m.config.Revision }

// Config returns the configuration at the last accepted change.
func (m *Machine) Config() *Config { return m.config }

// Claims returns the number of stored claims.
func (m *Machine) Claims() int { return m.claims.Len() }

// Objects returns all configuration objects, sorted by kind and name.
func (m *Machine) Objects() []*peerpb.ConfigObject {
	objects := make([]*peerpb.ConfigObject, 0, len(m.config.Objects))
	for _, o := range m.config.Objects {
		objects = append(objects, m.stored[objectKey{o.Kind, o.Name}])
	}
	return objects
}

// Since returns the changes after a revision, or the full configuration if the
// history does not reach back to that revision.
func (m *Machine) Since(revision uint64) *peerpb.WatchEvent {
	if revision >= m.config.Revision {
		return &peerpb.WatchEvent{Revision: m.config.Revision, FromRevision: m.config.Revision}
	}
	if event, ok := m.history.Since(revision); ok {
		return event
	}
	return &peerpb.WatchEvent{Revision: m.config.Revision, Full: true, Objects: m.Objects()}
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	snapshot := &peerpb.Snapshot{
		NowMs:         m.nowMS,
		Revision:      m.config.Revision,
		Objects:       m.Objects(),
		Changes:       m.changes.records(),
		Claims:        m.claims.Records(),
		SpentAttempts: m.claims.SpentAttempts(),
		ShareHolders:  m.shares.Snapshot(),
		Document:      m.document,
		Departures:    m.departures.encode(),
	}
	if m.faults.omitChangesFromSnapshot {
		snapshot.Changes = nil
	}
	if m.faults.omitSpentFromSnapshot {
		snapshot.SpentAttempts = nil
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state with that of a snapshot. After an error the state is
// unchanged.
func (m *Machine) Restore(data []byte) error {
	var snapshot peerpb.Snapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	config, err := Compile(snapshot.GetRevision(), snapshot.GetObjects())
	if err != nil {
		return fmt.Errorf("configuration of the snapshot: %w", err)
	}
	restored := New()
	restored.faults = m.faults
	restored.nowMS = snapshot.GetNowMs()
	restored.config = config
	for _, o := range snapshot.GetObjects() {
		restored.stored[objectKey{api.Kind(o.GetKind()), o.GetName()}] = o
	}
	for _, r := range snapshot.GetChanges() {
		restored.changes.byID[r.GetChangeId()] = r
		restored.changes.order = append(restored.changes.order, r)
	}
	restored.claims.Restore(snapshot.GetClaims(), snapshot.GetSpentAttempts())
	restored.shares.Restore(snapshot.GetShareHolders())
	restored.document = snapshot.GetDocument()
	restored.departures.restore(m.departures.version, snapshot.GetDepartures())
	*m = *restored
	return nil
}
