package fleet

// Kinds of evidence that entries report about a group, identified by its head.
const (
	// EvidenceAlive means that the group answers the entry.
	EvidenceAlive = "alive"
	// EvidenceStalled means that all streams from the group to the entry have stalled.
	EvidenceStalled = "stalled"
)
