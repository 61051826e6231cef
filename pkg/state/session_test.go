package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// TestConfigSessions runs the golden sessions in testdata/config. The directive
// `put KIND NAME id=ID expect=R` has the spec as its input; `delete` has no input.
func TestConfigSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/config", func(t *testing.T, path string) {
		m := New()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "put", "delete":
				return describe(m.Apply(0, sessionChange(t, d)))
			case "restart":
				m = restarted(t, m)
				return fmt.Sprintf("revision=%d", m.Revision())
			case "changes":
				return applyManyChanges(t, d, m)
			case "since":
				var from uint64
				d.ScanArgs(t, "from", &from)
				return describeEvent(m.Since(from))
			default:
				d.Fatalf(t, "unknown directive %q", d.Cmd)
				return ""
			}
		})
	})
}

func sessionChange(t *testing.T, d *datadriven.TestData) *peerpb.Command {
	change := &peerpb.ConfigChange{
		Kind: d.CmdArgs[0].Key, Name: d.CmdArgs[1].Key, Spec: []byte(d.Input), Delete: d.Cmd == "delete",
	}
	d.MaybeScanArgs(t, "id", &change.ChangeId)
	d.MaybeScanArgs(t, "expect", &change.ExpectedRevision)
	var hours int64
	d.MaybeScanArgs(t, "hour", &hours)
	return command(change, hours*3_600_000)
}

// applyManyChanges applies n successive changes to one object.
func applyManyChanges(t *testing.T, d *datadriven.TestData, m *Machine) string {
	var n int
	d.ScanArgs(t, "n", &n)
	var hours int64
	d.MaybeScanArgs(t, "hour", &hours)
	for i := range n {
		object, _ := m.Config().Object("labels", "busy")
		res := m.Apply(0, command(&peerpb.ConfigChange{
			ChangeId: fmt.Sprintf("busy-%d-%d", m.Revision(), i), Kind: "labels", Name: "busy",
			ExpectedRevision: object.Revision, Spec: []byte(`{"labels":{}}`),
		}, hours*3_600_000))
		require.Empty(t, res.GetFaultKind())
	}
	return fmt.Sprintf("revision=%d", m.Revision())
}

func command(change *peerpb.ConfigChange, atMS int64) *peerpb.Command {
	return &peerpb.Command{LeaderTimeMs: atMS, Body: &peerpb.Command_ConfigChange{ConfigChange: change}}
}

func describe(res *peerpb.Result) string {
	if res.GetFaultKind() != "" {
		return fmt.Sprintf("refused %s: %s (repeated=%t)", res.GetFaultKind(), res.GetFaultDetail(), res.GetRepeated())
	}
	return fmt.Sprintf("revision=%d object_revision=%d repeated=%t", res.GetRevision(), res.GetObjectRevision(), res.GetRepeated())
}

func describeEvent(e *peerpb.WatchEvent) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision=%d full=%t", e.GetRevision(), e.GetFull())
	for _, o := range e.GetObjects() {
		fmt.Fprintf(&b, " %s/%s@%d", o.GetKind(), o.GetName(), o.GetRevision())
	}
	for _, key := range e.GetDeleted() {
		fmt.Fprintf(&b, " -%s", key)
	}
	return b.String()
}

// restarted returns a new machine restored from a snapshot of m.
func restarted(t *testing.T, m *Machine) *Machine {
	data, err := m.Snapshot()
	require.NoError(t, err)
	fresh := New()
	fresh.faults = m.faults
	require.NoError(t, fresh.Restore(data))
	return fresh
}

// TestChangeIdentifiersAreBounded verifies that a full change log drops only its
// oldest records.
func TestChangeIdentifiersAreBounded(t *testing.T) {
	log := newChangeLog()
	for i := range maxChanges + 10 {
		log.add(&peerpb.ChangeRecord{ChangeId: fmt.Sprint(i)})
	}
	assert.Len(t, log.records(), maxChanges)
	assert.Len(t, log.byID, maxChanges)
	assert.Nil(t, log.find("9"))
	assert.NotNil(t, log.find("10"))
}

// TestNextRevisionLeavesOlderUnchanged guards against revisions that share a
// container which With modifies.
func TestNextRevisionLeavesOlderUnchanged(t *testing.T) {
	objects := []*peerpb.ConfigObject{
		{Kind: "account", Name: "school", Revision: 1, Spec: []byte(`{"token_sha256":["` + strings.Repeat("a", 64) + `"]}`)},
		{Kind: "limit", Name: "school", Revision: 2, Spec: []byte(`{"account":"school","concurrency":4}`)},
		{Kind: "group", Name: "g", Revision: 3, Spec: []byte(`{"vms":1}`)},
		{Kind: "route", Name: "r", Revision: 4, Spec: []byte(`{}`)},
		{Kind: "labels", Name: "vm", Revision: 5, Spec: []byte(`{"labels":{"a":"b"}}`)},
	}
	older, err := Compile(5, objects)
	require.NoError(t, err)
	unchanged, err := Compile(5, objects)
	require.NoError(t, err)
	next, err := older.With(&peerpb.WatchEvent{
		FromRevision: 5, Revision: 9, Deleted: []string{"limit/school", "labels/vm", "route/r"},
		Objects: []*peerpb.ConfigObject{
			{Kind: "account", Name: "school", Revision: 8, Spec: []byte(`{"token_sha256":[]}`)},
			{Kind: "group", Name: "f", Revision: 9, Spec: []byte(`{"vms":2}`)},
		},
	})
	require.NoError(t, err)
	assert.Equal(t, unchanged, older)
	assert.Empty(t, next.Limits)
	assert.Empty(t, next.AccountByToken)
	assert.Empty(t, next.Routes)
	assert.Empty(t, next.Labels)
	assert.Len(t, next.Groups, 2)
	assert.Equal(t, "f", next.Groups[0].Name)
	assert.Len(t, next.Objects, 3)
}
