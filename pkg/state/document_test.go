package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

func replaceDocument(m *Machine, version uint64, content string) *peerpb.Result {
	change := &peerpb.DocumentChange{Version: version, Content: []byte(content)}
	return m.Apply(0, &peerpb.Command{Body: &peerpb.Command_DocumentChange{DocumentChange: change}})
}

func TestHighestDocumentVersionWins(t *testing.T) {
	m := New()
	require.Nil(t, m.Document())
	require.EqualValues(t, 7, replaceDocument(m, 7, "seven").GetDocumentVersion())
	require.EqualValues(t, 7, replaceDocument(m, 5, "five").GetDocumentVersion(), "a lower version changes nothing")
	require.EqualValues(t, 7, replaceDocument(m, 7, "other").GetDocumentVersion())
	require.Equal(t, "seven", string(m.Document().GetContent()), "different content with the same version changes nothing")
	require.EqualValues(t, 12, replaceDocument(m, 12, "twelve").GetDocumentVersion())
}

func TestDocumentIsRestoredFromSnapshot(t *testing.T) {
	m := New()
	replaceDocument(m, 3, "three")
	data, err := m.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, "three", string(restored.Document().GetContent()))
	require.EqualValues(t, 3, replaceDocument(restored, 2, "two").GetDocumentVersion())
}
