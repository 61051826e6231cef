package storage

import (
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// withFullDisk runs a function while files cannot grow beyond a size, as on a disk that becomes full at that byte.
func withFullDisk(t *testing.T, size int64, run func()) {
	signal.Ignore(syscall.SIGXFSZ)
	var before unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_FSIZE, &before))
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: uint64(size), Max: before.Max}))
	defer func() { require.NoError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &before)) }()
	run()
}

// fullDiskProcess is set in the process that limits its own files: go test writes to files of this one.
const fullDiskProcess = "MASTICMOUNT_FULL_DISK_TEST"

// Guards against a keeper that cannot use its data folder, or has lost what it acknowledged, after its disk was
// full: a write may end at any byte.
func TestFolderIsUsableAfterDiskWasFull(t *testing.T) {
	if os.Getenv(fullDiskProcess) == "" {
		child := exec.Command(os.Args[0], "-test.run=^TestFolderIsUsableAfterDiskWasFull$")
		child.Env = append(os.Environ(), fullDiskProcess+"=1")
		output, err := child.CombinedOutput()
		require.NoError(t, err, "%s", output)
		return
	}
	steps := map[string]func(s *Store) error{
		"entry": func(s *Store) error {
			return s.Save(&peerpb.HardState{Term: 1, Commit: 3}, []*peerpb.LogEntry{entry(4, 1)})
		},
		"snapshot": func(s *Store) error {
			return s.WriteSnapshot(&peerpb.LogSnapshot{Index: 2, Term: 1, Data: make([]byte, 3000)})
		},
		"compaction": func(s *Store) error {
			if err := s.WriteSnapshot(&peerpb.LogSnapshot{Index: 2, Term: 1, Data: make([]byte, 300)}); err != nil {
				return err
			}
			base := s.Stored().Base
			base.Index, base.Term = 2, 1
			return s.Compact(2, base, &peerpb.HardState{Term: 1, Commit: 3}, []*peerpb.LogEntry{entry(3, 1)})
		},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			failed := 0
			for size := int64(0); size < 3400; size += 61 {
				folder := t.TempDir()
				writeLog(t, folder)
				s := open(t, folder)
				var err error
				withFullDisk(t, size, func() { err = step(s) })
				if err != nil {
					failed++
				}
				withFullDisk(t, size, func() {
					_ = s.Close()
					if again, err := Open(folder, "k1", func() uint64 { return testIdentity }); err == nil {
						_ = again.Close()
					}
				})
				assert.Empty(t, temporaryFiles(folder), "byte %d", size)

				require.NoError(t, Probe(folder))
				s = open(t, folder)
				assert.GreaterOrEqual(t, lastIndex(s), uint64(3), "byte %d", size)
				assert.EqualValues(t, testIdentity, s.Identity())
				require.NoError(t, s.Save(&peerpb.HardState{Term: 2, Commit: 3}, []*peerpb.LogEntry{entry(lastIndex(s)+1, 2)}))
				require.NoError(t, s.Close())
				s = open(t, folder)
				assert.EqualValues(t, 2, s.Stored().HardState.GetTerm())
				require.NoError(t, s.Close())
			}
			assert.Positive(t, failed)
		})
	}
}

func temporaryFiles(folder string) []string {
	found, _ := filepath.Glob(filepath.Join(folder, "*"+temporarySuffix))
	return found
}
