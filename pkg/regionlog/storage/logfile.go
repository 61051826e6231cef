package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
)

const (
	logPattern      = "log-????????????????"
	snapshotPattern = "snapshot-????????????????"
)

func logName(sequence uint64) string   { return fmt.Sprintf("log-%016x", sequence) }
func snapshotName(index uint64) string { return fmt.Sprintf("snapshot-%016x", index) }

// logFile appends records to one file.
type logFile struct {
	file *os.File
	// marker holds a lower bound of the synced size of the log: it is written after
	// each sync and is not synced itself.
	marker   *os.File
	sequence uint64
	size     int64
}

// append writes one record and syncs it.
func (l *logFile) append(batch *peerpb.LogBatch) error {
	payload, err := proto.Marshal(batch)
	if err != nil {
		return fmt.Errorf("encode log batch: %w", err)
	}
	record := appendRecord(nil, payload)
	if _, err := l.file.WriteAt(record, l.size); err != nil {
		return diskFault(err, "write the log")
	}
	if err := l.file.Sync(); err != nil {
		return diskFault(err, "sync the log")
	}
	l.size += int64(len(record))
	return l.writeMarker()
}

// writeMarker records that everything up to size is synced.
func (l *logFile) writeMarker() error {
	payload := binary.LittleEndian.AppendUint64(nil, l.sequence)
	payload = binary.LittleEndian.AppendUint64(payload, uint64(l.size))
	if _, err := l.marker.WriteAt(withChecksum(payload), 0); err != nil {
		return diskFault(err, "record the synced size of the log")
	}
	return nil
}

func (l *logFile) close() error { return errors.Join(l.file.Close(), l.marker.Close()) }

// syncedEnd returns the size of a log file that is known to be synced, or 0.
func (s *Store) syncedEnd(sequence uint64) int64 {
	data, err := os.ReadFile(s.path(syncedFile))
	if err != nil {
		return 0
	}
	payload, err := verifyChecksum(data)
	if err != nil || len(payload) != 16 || binary.LittleEndian.Uint64(payload) != sequence {
		return 0
	}
	return int64(binary.LittleEndian.Uint64(payload[8:]))
}

// loadLog reads the newest log file, which was complete when it was renamed to its
// name.
func (s *Store) loadLog() error {
	found, _ := filepath.Glob(s.path(logPattern))
	if len(found) == 0 {
		return s.replaceLog(regionlog.Base{}, nil, nil)
	}
	sort.Strings(found)
	path := found[len(found)-1]
	if _, err := fmt.Sscanf(filepath.Base(path), "log-%x", &s.sequence); err != nil {
		return damaged(path, "invalid file name")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return diskFault(err, "read the log")
	}
	end, err := s.replay(path, data)
	if err != nil {
		return err
	}
	if err := s.openLog(end); err != nil {
		return err
	}
	return s.checkSnapshot(path)
}

// replay reads every record and returns the end of the last complete one.
func (s *Store) replay(path string, data []byte) (end int64, err error) {
	synced := int(s.syncedEnd(s.sequence))
	if len(data) < synced {
		return 0, damaged(path, fmt.Sprintf("it ends at byte %d but it was synced up to byte %d", len(data), synced))
	}
	offset := 0
	for offset < len(data) {
		payload, size, err := readRecord(data[offset:])
		if err != nil {
			if offset == 0 || offset < synced || !isTornWrite(data, offset) {
				return 0, damaged(path, fmt.Sprintf("byte %d: %v", offset, err))
			}
			break
		}
		if err := s.replayRecord(offset == 0, payload); err != nil {
			return 0, damaged(path, fmt.Sprintf("byte %d: %v", offset, err))
		}
		offset += size
	}
	return int64(offset), nil
}

// replayRecord reads the base from the first record and a batch from every other.
func (s *Store) replayRecord(first bool, payload []byte) error {
	if first {
		var base peerpb.LogSnapshot
		if err := proto.Unmarshal(payload, &base); err != nil {
			return err
		}
		s.stored.Base = BaseOf(&base)
		return nil
	}
	var batch peerpb.LogBatch
	if err := proto.Unmarshal(payload, &batch); err != nil {
		return err
	}
	if batch.GetHardState() != nil {
		s.stored.HardState = batch.GetHardState()
	}
	return s.replayEntries(batch.GetEntries())
}

// replayEntries appends entries; an entry at an existing index replaces it and
// all entries after it.
func (s *Store) replayEntries(entries []*peerpb.LogEntry) error {
	for _, e := range entries {
		held := uint64(len(s.stored.Entries))
		position := e.GetIndex() - s.stored.Base.Index - 1
		if e.GetIndex() <= s.stored.Base.Index || position > held {
			return fmt.Errorf("entry %d does not follow %d", e.GetIndex(), s.stored.Base.Index+held)
		}
		s.stored.Entries = append(s.stored.Entries[:position], e)
	}
	return nil
}

// checkSnapshot verifies that there is no gap between the snapshot and the log.
func (s *Store) checkSnapshot(path string) error {
	snapshot, err := s.Snapshot()
	if err != nil {
		return err
	}
	s.stored.Applied = snapshot.GetIndex()
	if s.stored.Applied < s.stored.Base.Index {
		return damaged(path, fmt.Sprintf("the log starts after entry %d but the snapshot at that entry is missing", s.stored.Base.Index))
	}
	if s.logContains(s.stored.Applied, snapshot.GetTerm()) {
		return nil
	}
	// The keeper was killed after it had installed a snapshot and before it had
	// replaced the log, which does not contain the snapshot's entry.
	s.stored.Base = BaseOf(snapshot)
	s.stored.Entries = nil
	return s.replaceLog(s.stored.Base, s.stored.HardState, nil)
}

// logContains reports whether the loaded log has an entry with this index and term.
func (s *Store) logContains(index, term uint64) bool {
	base := s.stored.Base
	if index == base.Index {
		return term == base.Term
	}
	position := index - base.Index - 1
	return position < uint64(len(s.stored.Entries)) && s.stored.Entries[position].GetTerm() == term
}

// BaseOf returns the base of a log that starts from a snapshot.
func BaseOf(snapshot *peerpb.LogSnapshot) regionlog.Base {
	return regionlog.Base{
		Index: snapshot.GetIndex(), Term: snapshot.GetTerm(),
		LeaderTimeMs: snapshot.GetLeaderTimeMs(), Membership: snapshot.GetMembership(),
	}
}

// replaceLog writes a new log file that replaces the current one.
func (s *Store) replaceLog(base regionlog.Base, hs *peerpb.HardState, entries []*peerpb.LogEntry) error {
	head, err := proto.Marshal(&peerpb.LogSnapshot{
		Index: base.Index, Term: base.Term, LeaderTimeMs: base.LeaderTimeMs, Membership: base.Membership,
		// A record must not be empty; without data an empty base would encode to 0 bytes.
		Data: []byte{1},
	})
	if err != nil {
		return fmt.Errorf("encode log base: %w", err)
	}
	content := appendRecord(nil, head)
	if hs != nil || len(entries) > 0 {
		batch, err := proto.Marshal(&peerpb.LogBatch{HardState: hs, Entries: entries})
		if err != nil {
			return fmt.Errorf("encode log batch: %w", err)
		}
		content = appendRecord(content, batch)
	}
	if err := s.writeFileAtomic(logName(s.sequence+1), content); err != nil {
		return err
	}
	s.sequence++
	if s.log != nil {
		if err := s.log.close(); err != nil {
			return diskFault(err, "close the old log")
		}
	}
	if err := s.openLog(int64(len(content))); err != nil {
		return err
	}
	s.removeAllExcept(logPattern, logName(s.sequence))
	return nil
}

// openLog opens the current log file for appending and truncates it to end, which
// removes a torn write.
func (s *Store) openLog(end int64) error {
	file, err := os.OpenFile(s.path(logName(s.sequence)), os.O_RDWR, fileMode)
	if err != nil {
		return diskFault(err, "open the log")
	}
	marker, err := os.OpenFile(s.path(syncedFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Join(diskFault(err, "open the synced size of the log"), file.Close())
	}
	s.log = &logFile{file: file, marker: marker, sequence: s.sequence, size: end}
	if err := file.Truncate(end); err != nil {
		return diskFault(err, "truncate the incomplete record at the end of the log")
	}
	if err := file.Sync(); err != nil {
		return diskFault(err, "sync the log")
	}
	return s.log.writeMarker()
}

// Exists reports whether a data folder is formatted.
func Exists(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, identityFile))
	return !errors.Is(err, fs.ErrNotExist)
}
