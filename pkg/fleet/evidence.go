package fleet

// Kinds of evidence that entries give of a group, by its head.
const (
	// EvidenceAlive says that the group answers an entry.
	EvidenceAlive = "alive"
	// EvidenceStalled says that all streams of the group at an entry fell silent.
	EvidenceStalled = "stalled"
)
