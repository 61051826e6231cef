// Package storage stores a keeper's identity, log and snapshots on its disk.
//
// The data folder holds one identity file, one log file and one snapshot. The
// log file is a sequence of records, each synced before the next is written,
// so only the last record can be a torn write, and such a record was never
// acknowledged. Compaction writes a new snapshot and then a new log file; each
// is renamed to its final name once it is complete and synced.
package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
)

const (
	identityFile = "identity"
	lockFile     = "lock"
	syncedFile   = "synced"
	// temporarySuffix ends the names of files that are not complete yet.
	temporarySuffix = ".tmp"
	folderMode      = 0o700
	fileMode        = 0o600
)

// Store gives access to one keeper's data folder. Its methods are not safe for
// concurrent use.
type Store struct {
	folder   string
	lock     *os.File
	identity *peerpb.Member
	log      *logFile
	// sequence is the number of the current log file.
	sequence uint64
	stored   regionlog.StoredState
}

// Open opens the data folder of a node. An empty folder is formatted with the
// identity that newIdentity returns.
func Open(folder, nodeID string, newIdentity func() uint64) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, diskFault(err, "create the data folder")
	}
	s := &Store{folder: folder}
	if err := s.acquireLock(); err != nil {
		return nil, err
	}
	// Left by a process that ended as it wrote them.
	s.removeAllExcept("*"+temporarySuffix, "")
	if err := s.load(nodeID, newIdentity); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) acquireLock() error {
	f, err := os.OpenFile(s.path(lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return diskFault(err, "open the lock file")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return fault.New(fault.Internal, "stop the other process or give this node a data folder of its own",
			"data folder %s is in use", s.folder).WithCause(err)
	}
	s.lock = f
	return nil
}

func (s *Store) load(nodeID string, newIdentity func() uint64) error {
	if err := s.loadIdentity(nodeID, newIdentity); err != nil {
		return err
	}
	return s.loadLog()
}

func (s *Store) loadIdentity(nodeID string, newIdentity func() uint64) error {
	data, err := os.ReadFile(s.path(identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return s.format(nodeID, newIdentity())
	}
	if err != nil {
		return diskFault(err, "read the identity")
	}
	payload, err := verifyChecksum(data)
	if err != nil {
		return damaged(s.path(identityFile), err.Error())
	}
	s.identity = &peerpb.Member{}
	if err := proto.Unmarshal(payload, s.identity); err != nil {
		return damaged(s.path(identityFile), err.Error())
	}
	if s.identity.GetNodeId() != nodeID {
		return fault.New(fault.InvalidRequest, "correct node.id or node.data_folder in the settings",
			"data folder %s belongs to node %q, not to %q", s.folder, s.identity.GetNodeId(), nodeID)
	}
	return nil
}

// format writes a new identity. It rejects a folder that already holds a log,
// because a log written under another identity must not be used.
func (s *Store) format(nodeID string, identity uint64) error {
	for _, pattern := range []string{logPattern, snapshotPattern} {
		if found, _ := filepath.Glob(s.path(pattern)); len(found) > 0 {
			return damaged(s.path(identityFile), "the file is missing although the folder contains "+filepath.Base(found[0]))
		}
	}
	s.identity = &peerpb.Member{Identity: identity, NodeId: nodeID}
	data, err := proto.Marshal(s.identity)
	if err != nil {
		return fmt.Errorf("encode identity: %w", err)
	}
	return s.writeFileAtomic(identityFile, withChecksum(data))
}

// Identity returns the identity made when the folder was formatted.
func (s *Store) Identity() uint64 { return s.identity.GetIdentity() }

// Stored returns the state that the log held when the folder was opened.
func (s *Store) Stored() regionlog.StoredState { return s.stored }

// Snapshot reads the latest snapshot, or returns nil if there is none. It may run
// concurrently with the other methods; it fails if the snapshot is replaced at the
// same time.
func (s *Store) Snapshot() (*peerpb.LogSnapshot, error) {
	found, _ := filepath.Glob(s.path(snapshotPattern))
	if len(found) == 0 {
		return nil, nil
	}
	sort.Strings(found)
	return readSnapshot(found[len(found)-1])
}

func readSnapshot(path string) (*peerpb.LogSnapshot, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, diskFault(err, "read the snapshot")
	}
	payload, err := verifyChecksum(data)
	if err != nil {
		return nil, damaged(path, err.Error())
	}
	snapshot := &peerpb.LogSnapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, damaged(path, err.Error())
	}
	return snapshot, nil
}

// Save makes a hard state and entries durable with one sync. After an error
// the store must not be used any more, because the content of the disk is unknown.
func (s *Store) Save(hs *peerpb.HardState, entries []*peerpb.LogEntry) error {
	if hs == nil && len(entries) == 0 {
		return nil
	}
	return s.log.append(&peerpb.LogBatch{HardState: hs, Entries: entries})
}

// WriteSnapshot makes a snapshot durable. It may run concurrently with the other
// methods.
func (s *Store) WriteSnapshot(snapshot *peerpb.LogSnapshot) error {
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	return s.writeFileAtomic(snapshotName(snapshot.GetIndex()), withChecksum(data))
}

// Compact starts a new log file from base with the given entries and removes the
// old log file and all snapshots but the one at index.
func (s *Store) Compact(index uint64, base regionlog.Base, hs *peerpb.HardState, entries []*peerpb.LogEntry) error {
	if err := s.replaceLog(base, hs, entries); err != nil {
		return err
	}
	s.removeAllExcept(snapshotPattern, snapshotName(index))
	return nil
}

// Install replaces the log and the state with a snapshot from the leader.
func (s *Store) Install(snapshot *peerpb.LogSnapshot, hs *peerpb.HardState) error {
	if err := s.WriteSnapshot(snapshot); err != nil {
		return err
	}
	return s.Compact(snapshot.GetIndex(), BaseOf(snapshot), hs, nil)
}

// Close releases the data folder.
func (s *Store) Close() error {
	var err error
	if s.log != nil {
		err = s.log.close()
	}
	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
	}
	return err
}

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// writeFileAtomic writes a file so that it is either complete and synced under its
// name, or absent: it is renamed to its name, and the folder is synced too.
func (s *Store) writeFileAtomic(name string, data []byte) error {
	return writeFileAtomic(s.folder, name, data)
}

func writeFileAtomic(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	temporary := path + temporarySuffix
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return diskFault(err, "create "+name)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		// What was written would take room on a full disk for good.
		_ = os.Remove(temporary)
		return diskFault(err, "write "+name)
	}
	if err := os.Rename(temporary, path); err != nil {
		return diskFault(err, "rename "+name)
	}
	return syncFolder(folder)
}

// WriteFile writes a file of another part of the node to a data folder, with a checksum. After a
// crash the file has the content of this write or of the one before.
func WriteFile(folder, name string, payload []byte) error {
	return writeFileAtomic(folder, name, withChecksum(payload))
}

// ReadFile returns the payload of a file that WriteFile wrote, nil if there is none.
func ReadFile(folder, name string) ([]byte, error) {
	path := filepath.Join(folder, name)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, diskFault(err, "read "+name)
	}
	payload, err := verifyChecksum(data)
	if err != nil {
		return nil, damaged(path, err.Error())
	}
	return payload, nil
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return diskFault(err, "open the data folder")
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return diskFault(err, "sync the data folder")
	}
	return nil
}

// removeAllExcept removes the files that match a pattern, except keep. Files left
// over after a crash are removed at the next compaction.
func (s *Store) removeAllExcept(pattern, keep string) {
	found, _ := filepath.Glob(s.path(pattern))
	for _, path := range found {
		if filepath.Base(path) != keep {
			_ = os.Remove(path)
		}
	}
}

func diskFault(err error, action string) error {
	return fault.New(fault.Internal,
		"check the disk of the data folder and its free space, then start the node again; replace the disk if the error persists",
		"cannot %s", action).WithOutcome(fault.Unknown).WithCause(err)
}

// damaged reports a file whose synced part cannot be read.
func damaged(path, reason string) error {
	return fault.New(fault.Internal,
		"move the data folder away and start the node again: it rejoins as a learner under a new identity and copies the log from the other keepers",
		"%s is damaged: %s", path, reason)
}

const (
	probeFile = "probe"
	// probeBytes is the size of the test write; larger than a batch of entries.
	probeBytes = 256 << 10
)

// Probe returns an error unless a data folder accepts and syncs writes.
func Probe(folder string) error {
	path := filepath.Join(folder, probeFile)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_TRUNC, fileMode)
	if err != nil {
		return diskFault(err, "create a file")
	}
	_, err = f.Write(make([]byte, probeBytes))
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if removeErr := os.Remove(path); err == nil {
		err = removeErr
	}
	if err != nil {
		return diskFault(err, "write")
	}
	return nil
}

// Discard empties the data folder of a keeper whose identity was removed from the
// region log, so that the keeper starts with a new identity.
func Discard(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return diskFault(err, "list the data folder")
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(folder, e.Name())); err != nil {
			return diskFault(err, "remove a file")
		}
	}
	f, err := os.Open(folder)
	if err != nil {
		return diskFault(err, "open the data folder")
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return diskFault(err, "sync the data folder")
	}
	return nil
}
