package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// replacementCatchUp is the time after which a successor counts, as the settings state it.
	replacementCatchUp = 4 * time.Second
	// successorDelay is the time from the loss of a keeper to the start of its successor, and diskDelay that from the
	// loss of a disk to the next start of its keeper.
	successorDelay = time.Second
	diskDelay      = time.Second
	// maxReplacementGap bounds the time from a planned successor's start to the end of the keeper that it replaces, and
	// that between two keepers that are lost in one round.
	maxReplacementGap = 2 * replacementCatchUp
	maxSecondLossGap  = 2 * time.Second
	// maxDiskLossDelay bounds the time from the end of the catch-up time to the loss of a disk.
	maxDiskLossDelay = 500 * time.Millisecond
	// successorHost is the last byte of the first successor's address.
	successorHost = 120
)

// lossKinds are the ways in which a keeper is lost: its connections are reset, hang, or close at a planned stop. A
// planned replacement starts the successor first.
var lossKinds = []string{"killed", "silent", "stopped", "planned"}

// diskRoles are the keepers that may lose a disk after a replacement.
var diskRoles = []string{"leader", "acknowledging", "follower", "successor"}

// replacements replaces keepers by empty ones at other addresses. Once the successors count, other keepers lose
// their disks right after an acknowledgement, as many as the region tolerates.
type replacements struct {
	region   *region
	operator *operator
	random   *rand.Rand
	// started is the number of successors, losses that of lost keepers and disks.
	started, losses int
	// rounds describes the rounds played.
	rounds []string
}

// replacementRound is what happens in a round.
type replacementRound struct {
	kinds, roles, disks []string
	// returns is true if a silent keeper goes on after the round, when it has been replaced.
	returns bool
}

func (r replacementRound) String() string {
	return fmt.Sprintf("%v %v, then the disk of %v, returns %v", r.roles, r.kinds, r.disks, r.returns)
}

// draw returns what happens next, with as many losses as the region tolerates at once.
func (p *replacements) draw(tolerated int) replacementRound {
	var r replacementRound
	for range 1 + p.random.IntN(tolerated) {
		r.kinds = append(r.kinds, lossKinds[p.random.IntN(len(lossKinds))])
		r.roles = append(r.roles, diskRoles[2*p.random.IntN(2)])
	}
	for range 1 + p.random.IntN(tolerated) {
		r.disks = append(r.disks, diskRoles[p.random.IntN(len(diskRoles))])
	}
	r.returns = p.random.IntN(2) == 0
	return r
}

// run plays rounds until a time, and returns a violation if changes are not acknowledged again after one.
func (p *replacements) run(until time.Time) []string {
	for time.Now().Before(until) {
		round := p.draw((p.region.timing.keepers - 1) / 2)
		p.rounds = append(p.rounds, round.String())
		if broken := p.play(round); broken != "" {
			return []string{fmt.Sprintf("round %d (%s): %s", len(p.rounds), round, broken)}
		}
	}
	return nil
}

// play plays a round and returns what broke; empty if changes are acknowledged again.
func (p *replacements) play(round replacementRound) string {
	var successors, lost []*node
	var counts time.Time
	for i, kind := range round.kinds {
		if i > 0 {
			time.Sleep(between(p.random, 0, maxSecondLossGap))
		}
		old := p.choose(round.roles[i], successors)
		successor, at := p.replace(old, kind)
		successors, lost = append(successors, successor), append(lost, old)
		if at.After(counts) {
			counts = at
		}
	}
	time.Sleep(time.Until(counts) + between(p.random, 0, maxDiskLossDelay))
	acknowledging := p.awaitAcknowledgement()
	if acknowledging == nil {
		return fmt.Sprintf("no change was acknowledged within %s after the successors counted", recoveryTime)
	}
	var taken []*node
	for _, role := range round.disks {
		n := acknowledging
		if role != "acknowledging" {
			n = p.choose(role, successors, taken...)
		}
		if !slices.Contains(taken, n) {
			taken = append(taken, n)
		}
	}
	p.takeDisks(taken)
	back := time.Now()
	if p.awaitAcknowledgement() == nil {
		return fmt.Sprintf("no change was acknowledged within %s after %v lost their disks", recoveryTime, names(taken))
	}
	if round.returns {
		p.resume(lost)
	}
	// A keeper that is back counts as lost for the catch-up time.
	time.Sleep(time.Until(back.Add(replacementCatchUp)))
	return ""
}

// replace has a keeper lost for good and starts its successor. It returns the time from which the successor counts.
func (p *replacements) replace(old *node, kind string) (successor *node, counts time.Time) {
	p.losses++
	switch kind {
	case "planned":
		successor, counts = p.startSuccessor(old)
		time.Sleep(between(p.random, 0, maxReplacementGap))
		p.region.removeKeeper(old)
		old.stopWith(syscall.SIGTERM)
		if now := time.Now(); now.After(counts) {
			counts = now
		}
		return successor, counts
	case "silent":
		old.signal(syscall.SIGSTOP)
	case "stopped":
		old.stopWith(syscall.SIGTERM)
	default:
		old.stopWith(syscall.SIGKILL)
	}
	time.Sleep(successorDelay)
	successor, counts = p.startSuccessor(old)
	p.region.removeKeeper(old)
	return successor, counts
}

// startSuccessor starts an empty keeper at a new address in the zone of another one.
func (p *replacements) startSuccessor(old *node) (successor *node, counts time.Time) {
	number := p.started
	p.started++
	n := &node{name: fmt.Sprintf("successor-%d", number), role: "keeper", ip: fmt.Sprintf("127.0.%d.%d", p.region.subnet, successorHost+number)}
	n.folder = filepath.Join(filepath.Dir(old.folder), n.name)
	must(p.region.startNew(n, number, false))
	p.region.addKeeper(n)
	return n, time.Now().Add(replacementCatchUp)
}

// takeDisks ends keepers at once, and starts them again with empty disks.
func (p *replacements) takeDisks(keepers []*node) {
	var all sync.WaitGroup
	for i, n := range keepers {
		p.losses++
		all.Go(func() {
			n.stopWith(syscall.SIGKILL)
			must(n.wipe())
			time.Sleep(diskDelay)
			must(p.region.startNew(n, i, false))
		})
	}
	all.Wait()
}

// resume lets silent keepers go on, which then stand in the platform's list again.
func (p *replacements) resume(lost []*node) {
	for _, n := range lost {
		n.mu.Lock()
		silent := !n.stopping
		n.mu.Unlock()
		if silent {
			n.signal(syscall.SIGCONT)
			p.region.addKeeper(n)
		}
	}
}

// choose returns a running keeper by its role, other than those excluded.
func (p *replacements) choose(role string, successors []*node, excluded ...*node) *node {
	keepers := slices.DeleteFunc(p.region.listedKeepers(), func(n *node) bool { return slices.Contains(excluded, n) })
	leader := leadingKeeper(keepers)
	switch {
	case role == "successor" && len(successors) > 0 && !slices.Contains(excluded, successors[0]):
		return successors[0]
	case role == "leader" && leader != nil:
		return leader
	}
	followers := slices.DeleteFunc(keepers, func(n *node) bool { return n == leader })
	return followers[p.random.IntN(len(followers))]
}

// awaitAcknowledgement returns the keeper of the next acknowledgement; nil if there is none within recoveryTime.
func (p *replacements) awaitAcknowledgement() *node {
	select {
	case n := <-p.operator.acknowledgedBy:
		return n
	case <-time.After(recoveryTime):
		return nil
	}
}

// removeKeeper takes a keeper from the platform's list, addKeeper adds one.
func (r *region) removeKeeper(n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keepers = slices.DeleteFunc(slices.Clone(r.keepers), func(k *node) bool { return k == n })
	r.lost = append(r.lost, n)
}

func (r *region) addKeeper(n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = slices.DeleteFunc(slices.Clone(r.lost), func(k *node) bool { return k == n })
	r.keepers = append(slices.Clone(r.keepers), n)
}

func names(nodes []*node) []string {
	var all []string
	for _, n := range nodes {
		all = append(all, n.name)
	}
	return all
}

var (
	leadsPattern   = regexp.MustCompile(`event=region_log_role .*role=(\S+) term=(\d+)`)
	removedPattern = regexp.MustCompile(`event=keeper_replacement .*action=ACTION_REMOVE identity=(\d+)`)
)

// leadingKeeper returns the keeper that logged the leadership of the latest term last; nil if none did.
func leadingKeeper(keepers []*node) *node {
	var leader *node
	var latest uint64
	for _, n := range keepers {
		log, err := os.ReadFile(filepath.Join(n.folder, "log"))
		if err != nil {
			continue
		}
		if term, leads := lastLeadership(log); leads && term > latest {
			leader, latest = n, term
		}
	}
	return leader
}

// lastLeadership returns the term of the last role in a log, and whether it is that of a leader.
func lastLeadership(log []byte) (term uint64, leads bool) {
	roles := leadsPattern.FindAllSubmatch(log, -1)
	if len(roles) == 0 {
		return 0, false
	}
	last := roles[len(roles)-1]
	term, err := strconv.ParseUint(string(last[2]), 10, 64)
	return term, err == nil && string(last[1]) == "leader"
}

// removedVoters returns the number of identities that leaders removed from the region log.
func (r *region) removedVoters() (int, error) {
	removed := map[string]bool{}
	for _, n := range r.allNodes() {
		err := n.readLog(func(log io.Reader) error {
			return eachLine(log, func(line string) bool {
				if m := removedPattern.FindStringSubmatch(line); m != nil && !strings.Contains(line, "refused=") {
					removed[m[1]] = true
				}
				return true
			})
		})
		if err != nil {
			return 0, err
		}
	}
	return len(removed), nil
}

// soakReplacements runs one seed in which keepers are replaced.
func soakReplacements(args *arguments, seed uint64) (*result, error) {
	t := usualTiming
	t.keepers, t.catchUp = args.Keepers, replacementCatchUp
	sys, err := args.startSystem("-replacements", seed, t)
	if err != nil {
		return nil, err
	}
	defer sys.close()
	r, op := sys.region, sys.op
	desk, kiosk := sys.startPlain(deskService, deskCount, nil), sys.startPlain(kioskService, kioskCount, nil)
	op.acknowledgedBy = make(chan *node)
	if err := op.publishInitial(); err != nil {
		return nil, err
	}
	public, keyed := &callers{region: r}, &callers{region: r}
	if !public.waitServed() || !keyed.waitKeyedServed(startTimeout) {
		return sys.notServing(), nil
	}
	p := &replacements{region: r, operator: op, random: randomSource(seed, "replacements")}
	var done atomic.Bool
	active := func() bool { return !done.Load() }
	var all sync.WaitGroup
	all.Go(func() { op.run(active) })
	all.Go(func() { sys.checks.run(active) })
	all.Go(func() { public.run(active) })
	all.Go(func() { keyed.sendAll(callInterval, active, func(int) { keyed.sendKeyed() }) })
	violations := p.run(time.Now().Add(args.Faults))
	done.Store(true)
	all.Wait()
	violations = append(violations, op.changesAcknowledged()...)
	if !public.waitServed() || !keyed.waitKeyedServed(recoveryTime) {
		violations = append(violations, "requests are not served again after the faults")
	}
	violations = slices.Concat(violations, desk.violations(public.answers()), kiosk.violations(keyed.answers()))
	removed, err := r.removedVoters()
	if err != nil {
		return nil, err
	}
	fmt.Printf("seed %d: %d rounds: %q; %d keepers or disks lost, %d identities removed; acknowledged after %s\n", seed, len(p.rounds), p.rounds, p.losses, removed, describeTimes(op.acknowledgedAfter))
	return sys.finish(seed, violations)
}

// describeTimes returns the number, the median, the 99th percentile and the maximum of times.
func describeTimes(times []time.Duration) string {
	if len(times) == 0 {
		return "no change was acknowledged"
	}
	sorted := slices.Sorted(slices.Values(times))
	at := func(percent int) time.Duration {
		return sorted[(len(sorted)-1)*percent/100].Round(time.Millisecond)
	}
	return fmt.Sprintf("p50 %s, p99 %s, maximum %s of %d", at(50), at(99), at(100), len(sorted))
}

// sendKeyed sends a request that needs a key.
func (c *callers) sendKeyed() answer {
	number := c.nextNumber()
	return c.send(kioskRequest(quotePath, otherAccount, "sound"), number, number)
}

// waitKeyedServed reports whether requiredSuccesses requests with a key in a row succeed within a time.
func (c *callers) waitKeyedServed(within time.Duration) bool {
	return waitSuccesses(within, func(int) answer { return c.sendKeyed() })
}
