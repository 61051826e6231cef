// Package faultinject defines the faults that tests can inject into the protocols. A test
// injects one to verify that its checks detect the fault; other code never does.
package faultinject

// Faults is a set of injected faults.
type Faults uint

// The faults that can be injected.
const (
	// NoAbstentionAfterRestart lets a restarted voter vote immediately.
	NoAbstentionAfterRestart Faults = 1 << iota
	// FenceFromOwnMemory chooses fencing numbers from the coordinator's own memory only.
	FenceFromOwnMemory
	// IgnoreOwnLease lets a coordinator send orders after its lease has expired.
	IgnoreOwnLease
	// AcceptStaleEcho treats the first announcement after a pause as current.
	AcceptStaleEcho
	// IgnoreEvidence keeps dispatching to an upstream after a failed dispatch.
	IgnoreEvidence
	// ReassignWithoutWait sends orders to engines that ignore fencing without waiting
	// until earlier orders have expired.
	ReassignWithoutWait
	// FreeWithoutEcho treats a VM as free before it has confirmed its release.
	FreeWithoutEcho
	// IgnoreLeaseInGroups treats members whose lease has expired as current.
	IgnoreLeaseInGroups
	// PlanUnconfigured lets a coordinator plan before it has received a configuration.
	PlanUnconfigured
)

// Has reports whether all faults of other are injected.
func (f Faults) Has(other Faults) bool { return f&other == other }
