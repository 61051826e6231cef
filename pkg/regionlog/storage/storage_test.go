package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
)

const testIdentity = 77

func open(t *testing.T, folder string) *Store {
	t.Helper()
	s, err := Open(folder, "k1", func() uint64 { return testIdentity })
	require.NoError(t, err)
	return s
}

func openError(t *testing.T, folder string) error {
	t.Helper()
	_, err := Open(folder, "k1", func() uint64 { return testIdentity })
	require.Error(t, err)
	return err
}

func entry(index, term uint64) *peerpb.LogEntry {
	return &peerpb.LogEntry{Index: index, Term: term, Data: bytes.Repeat([]byte{7}, 700)}
}

// writeLog saves three batches of one entry each and returns the path of the log file
// and its size before the last batch.
func writeLog(t *testing.T, folder string) (path string, before int64) {
	t.Helper()
	s := open(t, folder)
	for i := uint64(1); i <= 3; i++ {
		before = s.log.size
		require.NoError(t, s.Save(&peerpb.HardState{Term: 1, Commit: i - 1}, []*peerpb.LogEntry{entry(i, 1)}))
	}
	path = s.path(logName(s.sequence))
	require.NoError(t, s.Close())
	return path, before
}

func lastIndex(s *Store) uint64 { return s.Stored().Base.Index + uint64(len(s.Stored().Entries)) }

func TestReopenReturnsSavedState(t *testing.T) {
	folder := t.TempDir()
	writeLog(t, folder)
	s := open(t, folder)
	assert.EqualValues(t, testIdentity, s.Identity())
	assert.EqualValues(t, 3, lastIndex(s))
	assert.EqualValues(t, 2, s.Stored().HardState.GetCommit())
	require.NoError(t, s.Save(nil, []*peerpb.LogEntry{entry(2, 2)}))
	require.NoError(t, s.Close())
	s = open(t, folder)
	assert.EqualValues(t, 2, lastIndex(s), "a rewritten entry removes those after it")
	require.NoError(t, s.Close())
}

// Guards against a keeper that does not start after a power loss: a write interrupted
// at any byte was never acknowledged, since the synced size does not include it, so it
// is truncated.
func TestTornWriteIsTruncated(t *testing.T) {
	folder := t.TempDir()
	path, before := writeLog(t, folder)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	for length := before; length < int64(len(content)); length += 13 {
		require.NoError(t, os.Remove(filepath.Join(folder, syncedFile)))
		require.NoError(t, os.WriteFile(path, content[:length], fileMode))
		s := open(t, folder)
		assert.EqualValues(t, 2, lastIndex(s), "truncated to %d bytes", length)
		require.NoError(t, s.Close())
	}
}

func TestUnwrittenSectorIsTruncated(t *testing.T) {
	folder := t.TempDir()
	path, before := writeLog(t, folder)
	require.NoError(t, os.Remove(filepath.Join(folder, syncedFile)))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	start := (before/sectorBytes + 1) * sectorBytes
	clear(data[start:min(start+sectorBytes, int64(len(data)))])
	require.NoError(t, os.WriteFile(path, data, fileMode))
	s := open(t, folder)
	assert.EqualValues(t, 2, lastIndex(s))
	require.NoError(t, s.Close())
}

func TestDamageBeforeSyncedEndIsRejected(t *testing.T) {
	folder := t.TempDir()
	path, before := writeLog(t, folder)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, offset := range []int64{3, before - 5, before + 2, int64(len(content)) - 1} {
		data := append([]byte(nil), content...)
		data[offset] ^= 0x40
		require.NoError(t, os.WriteFile(path, data, fileMode))
		err := openError(t, folder)
		assert.ErrorContains(t, err, "damaged")
		assert.ErrorContains(t, err, "rejoins as a learner under a new identity")
	}
	require.NoError(t, os.WriteFile(path, content[:before], fileMode))
	assert.ErrorContains(t, openError(t, folder), "it was synced up to")
}

// Guards against treating corruption as a torn write if the marker of the synced size is
// missing: complete records follow the corrupted one.
func TestDamageBeforeLaterRecordsIsRejected(t *testing.T) {
	folder := t.TempDir()
	path, before := writeLog(t, folder)
	require.NoError(t, os.Remove(filepath.Join(folder, syncedFile)))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	data[before-5] ^= 1
	require.NoError(t, os.WriteFile(path, data, fileMode))
	assert.ErrorContains(t, openError(t, folder), "damaged")
}

func TestSnapshotReplacesTheLog(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	entries := []*peerpb.LogEntry{entry(1, 1), entry(2, 1), entry(3, 1)}
	require.NoError(t, s.Save(nil, entries))
	snapshot := &peerpb.LogSnapshot{Index: 2, Term: 1, Data: []byte("state")}
	base := regionlog.Base{Index: 1, Term: 1}
	require.NoError(t, s.WriteSnapshot(snapshot))
	require.NoError(t, s.Compact(snapshot.GetIndex(), base, &peerpb.HardState{Term: 1, Commit: 2}, entries[1:]))
	require.NoError(t, s.Save(nil, []*peerpb.LogEntry{entry(4, 1)}))
	require.NoError(t, s.Close())
	s = open(t, folder)
	assert.EqualValues(t, 1, s.Stored().Base.Index)
	assert.EqualValues(t, 4, lastIndex(s))
	assert.EqualValues(t, 2, s.Stored().Applied)
	loaded, err := s.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, "state", string(loaded.GetData()))
	require.NoError(t, s.Close())
}

// Guards against a gap after a kill between writing a snapshot and replacing the log: a
// log without the snapshot's entry is replaced by one that starts from the snapshot.
func TestKillBetweenSnapshotAndLog(t *testing.T) {
	for _, snapshot := range []*peerpb.LogSnapshot{{Index: 9, Term: 2}, {Index: 2, Term: 2}} {
		folder := t.TempDir()
		writeLog(t, folder)
		s := open(t, folder)
		require.NoError(t, s.WriteSnapshot(snapshot))
		require.NoError(t, s.Close())
		s = open(t, folder)
		assert.Equal(t, snapshot.GetIndex(), s.Stored().Base.Index)
		assert.Equal(t, snapshot.GetIndex(), lastIndex(s))
		require.NoError(t, s.Close())
	}
}

func TestMissingIdentityWithLogIsRejected(t *testing.T) {
	folder := t.TempDir()
	writeLog(t, folder)
	require.NoError(t, os.Remove(filepath.Join(folder, identityFile)))
	assert.ErrorContains(t, openError(t, folder), "damaged")
}

func TestFolderOfAnotherNodeOrInUseIsRejected(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	assert.ErrorContains(t, openError(t, folder), "in use")
	require.NoError(t, s.Close())
	_, err := Open(folder, "k2", nil)
	assert.True(t, fault.IsKind(err, fault.InvalidRequest))
}
