package evidence

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog/storage"
)

// File holds the crash evidence in the data folder of a keeper.
const File = "crash-evidence"

// Read returns the evidence in a data folder, and the time since it was written; no evidence if
// there is no file.
func Read(folder string) (e *peerpb.CrashEvidence, downtime time.Duration, err error) {
	payload, err := storage.ReadFile(folder, File)
	if err != nil {
		return nil, 0, err
	}
	stored := &peerpb.StoredCrashEvidence{}
	if err := proto.Unmarshal(payload, stored); err != nil {
		return nil, 0, fmt.Errorf("decode the crash evidence: %w", err)
	}
	// A wall clock that was set back must not make the evidence younger.
	return stored.GetEvidence(), max(time.Since(time.UnixMilli(stored.GetStoredMs())), 0), nil
}

// Write replaces the evidence in a data folder. It is durable when Write returns.
func Write(folder string, e *peerpb.CrashEvidence) error {
	payload, err := proto.Marshal(&peerpb.StoredCrashEvidence{StoredMs: time.Now().UnixMilli(), Evidence: e})
	if err != nil {
		return fmt.Errorf("encode the crash evidence: %w", err)
	}
	return storage.WriteFile(folder, File, payload)
}
