package evidence

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/quarantine"
)

func newStore(folder string, logs *bytes.Buffer) *Store {
	return New(Options{Clock: time.Now, Folder: folder, Log: zerolog.New(logs)})
}

// addQuarantined adds the evidence that quarantines a content.
func (s *Store) addQuarantined(content string) {
	var crashes []quarantine.Crash
	for i, upstream := range []string{"u1", "u2", "u3"} {
		crashes = append(crashes, quarantine.Crash{Upstream: upstream, Service: "desk", Contents: []string{content}, At: s.Now().Add(time.Duration(i-4) * time.Second)})
	}
	s.AddCrashes(crashes)
	s.ObserveSuccess("desk", []string{"another"})
}

// Guards against upstreams that crash again after all nodes of a region have restarted.
func TestEvidenceSurvivesRestart(t *testing.T) {
	for name, stop := range map[string]func(t *testing.T, s *Store){
		"planned stop": func(_ *testing.T, s *Store) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			s.Run(ctx)
		},
		"kill a second later": func(t *testing.T, s *Store) {
			go s.Run(t.Context())
			time.Sleep(storeInterval)
			synctest.Wait()
			require.FileExists(t, filepath.Join(s.opts.Folder, File))
		},
	} {
		t.Run(name, func(t *testing.T) {
			folder, logs := t.TempDir(), &bytes.Buffer{}
			synctest.Test(t, func(t *testing.T) {
				before := newStore(folder, &bytes.Buffer{})
				before.Load()
				before.addQuarantined("p")
				stop(t, before)
				const downtime = time.Minute
				time.Sleep(downtime)

				after := newStore(folder, logs)
				after.Load()
				finding, found := after.Check([]string{"p"})
				require.True(t, found, logs.String())
				require.GreaterOrEqual(t, after.Now().Sub(finding.Last), downtime, "the time without nodes counts")
				time.Sleep(quarantine.QuarantineTime)
				_, found = after.Check([]string{"p"})
				require.False(t, found)
			})
		})
	}
}

// A damaged file must not keep a node from starting, and must be named.
func TestDamagedEvidenceIsLogged(t *testing.T) {
	folder, logs := t.TempDir(), &bytes.Buffer{}
	require.NoError(t, os.WriteFile(filepath.Join(folder, File), []byte("damaged"), 0o600))
	s := newStore(folder, logs)
	s.Load()
	require.Contains(t, logs.String(), "crash_evidence_not_read")
	s.addQuarantined("p")
	_, found := s.Check([]string{"p"})
	require.True(t, found)
}
