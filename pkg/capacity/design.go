package capacity

// The design size, from the users' requirements.
const (
	nodes              = 720
	workers            = 11_000
	accelerators       = 45_000
	requestsPerSecond  = 110_000
	tokensPerSecond    = 22_000_000
	vmsPerGroup        = 4
	regions            = 9
	failureDomains     = 35
	changesPerDay      = 26_000
	failuresPerDay     = 140
	restartsPerDay     = 4_700
	secondsPerDay      = 86_400
	peakToMeanOfChange = 10
	// configObjects are the labels of every worker and node, and the objects that
	// operators create.
	configObjects = 12_500
	// changesRemembered covers three days, the retention of change identifiers.
	changesRemembered = 3 * changesPerDay
	// claimsKept is the number of claims of a region that the ledger is measured with.
	claimsKept      = 100_000
	limitedAccounts = 100
	// keepersPerRegion gives 45 dedicated VMs in nine regions.
	keepersPerRegion = 5
	// commandBytes is the size of a claim with a recorded response.
	commandBytes = 1024
	// waitingPerNode is the queue limit of an entry.
	waitingPerNode = 4096
)

// Design returns the design size of each quantity that slopes are measured over, by
// the name in a slope's Per.
func Design() map[string]float64 {
	return map[string]float64{
		"nodes":                     nodes,
		"nodes per domain":          float64(nodes) / failureDomains,
		"upstreams":                 workers,
		"upstreams per domain":      float64(workers) / failureDomains,
		"groups":                    float64(workers) / vmsPerGroup,
		"groups per domain":         float64(workers) / vmsPerGroup / failureDomains,
		"requests/s per node":       float64(requestsPerSecond) / nodes,
		"requests/s per region":     float64(requestsPerSecond) / regions,
		"requests waiting per node": waitingPerNode,
		"tokens/s per node":         float64(tokensPerSecond) / nodes,
		"changes/s at the peak":     float64(changesPerDay) / secondsPerDay * peakToMeanOfChange,
		"configuration objects":     configObjects,
		"changes remembered":        changesRemembered,
		"claims kept":               claimsKept,
		"limited accounts":          limitedAccounts,
		"keepers":                   keepersPerRegion,
		"command bytes":             commandBytes,
		"failures/day":              failuresPerDay,
		"restarts/day":              restartsPerDay,
		"accelerators":              accelerators,
		"failure domains":           failureDomains,
		"failure domains/region":    float64(failureDomains) / regions,
	}
}
