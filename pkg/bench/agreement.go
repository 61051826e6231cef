package bench

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/regionlog"
	"github.com/masticmount/masticmount/pkg/regionlog/storage"
)

const (
	agreementSuite = "agreement"
	// claimBytes is the size of a claim with its recorded response.
	claimBytes = 1024
	// proposers is the number of concurrent proposers.
	proposers = 256
	// commitTime is the length of the commit rate measurement.
	commitTime = 3 * time.Second
	// warmUp is the time of load before a leader is killed.
	warmUp = 200 * time.Millisecond
	// slopeTime is the measurement time of each point of a slope.
	slopeTime = time.Second
	// leaderKills is the number of runs that kill the leader.
	leaderKills = 5
	// restartEntries is the number of log entries that a restart replays.
	restartEntries = 100_000
	// logPollInterval is the interval at which a keeper's status is polled.
	logPollInterval = time.Millisecond
	// waitTimeout bounds every wait of this suite.
	waitTimeout = 30 * time.Second
)

// runAgreement measures the region log over in-process keepers with real
// storage and loopback gRPC.
func runAgreement(ctx context.Context, r *Report) error {
	for _, measure := range []func(context.Context, *Report) error{
		measureCommits, measureLeaderKill, measureRestart, measureCommandSizes, measureKeeperCounts,
	} {
		if err := measure(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// countingMachine is a state machine that only counts commands.
type countingMachine struct{ applied atomic.Uint64 }

func (m *countingMachine) Apply(uint64, *peerpb.Command) *peerpb.Result {
	return &peerpb.Result{Revision: m.applied.Add(1)}
}
func (m *countingMachine) Snapshot() ([]byte, error) { return []byte{1}, nil }
func (m *countingMachine) Restore([]byte) error      { return nil }

// keeperSet is a set of in-process keepers that replicate one region log.
type keeperSet struct {
	folder   string
	keepers  []*keeper.Keeper
	servers  []*grpc.Server
	dialers  []*peers.Dialer
	received atomic.Int64
}

func startKeepers(n int) (*keeperSet, error) {
	folder, err := os.MkdirTemp("", "agreement")
	if err != nil {
		return nil, fmt.Errorf("create a folder for keepers: %w", err)
	}
	s := &keeperSet{folder: folder}
	listeners := make([]net.Listener, 0, n)
	list := make([]keeper.Peer, 0, n)
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for keepers: %w", err)
		}
		listeners = append(listeners, &countingListener{Listener: listener, received: &s.received})
		list = append(list, keeper.Peer{NodeID: fmt.Sprint("k", i), Address: listener.Addr().String()})
	}
	for i, listener := range listeners {
		if err := s.start(list, i, listener); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *keeperSet) start(list []keeper.Peer, i int, listener net.Listener) error {
	dialer, server := peers.NewDialer(nil), grpc.NewServer(peers.ServerKeepalive())
	k := keeper.New(keeper.Options{
		Machine: &countingMachine{}, OnApplied: func(uint64) {}, NodeID: list[i].NodeID, Address: list[i].Address,
		Folder: filepath.Join(s.folder, list[i].NodeID), Keepers: list, Dialer: dialer, Log: zerolog.Nop(),
	})
	if err := k.Open(); err != nil {
		return err
	}
	k.Register(server)
	go func() { _ = server.Serve(listener) }()
	s.keepers = append(s.keepers, k)
	s.servers = append(s.servers, server)
	s.dialers = append(s.dialers, dialer)
	return nil
}

// kill ends one keeper without a graceful shutdown, as a kill of its process does.
func (s *keeperSet) kill(i int) {
	s.keepers[i].Kill()
	s.servers[i].Stop()
	s.dialers[i].Close()
	s.keepers = slices.Delete(s.keepers, i, i+1)
	s.servers = slices.Delete(s.servers, i, i+1)
	s.dialers = slices.Delete(s.dialers, i, i+1)
}

func (s *keeperSet) close() {
	for len(s.keepers) > 0 {
		s.kill(0)
	}
	_ = os.RemoveAll(s.folder)
}

// leader waits for a leader and returns its index.
func (s *keeperSet) leader() (int, error) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(logPollInterval) {
		for i, k := range s.keepers {
			if k.Status().Role == regionlog.Leader {
				return i, nil
			}
		}
	}
	return 0, fmt.Errorf("no leader within %s", waitTimeout)
}

// countingListener counts the bytes that its connections receive.
type countingListener struct {
	net.Listener
	received *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, l.received}, err
}

type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

func command(size int) *peerpb.ProposeRequest {
	return &peerpb.ProposeRequest{Command: &peerpb.Command{Body: &peerpb.Command_ConfigChange{
		ConfigChange: &peerpb.ConfigChange{Spec: make([]byte, size)},
	}}}
}

// loadResult is the result of one run of concurrent proposers.
type loadResult struct {
	commits   int
	perSecond float64
	p50, p99  time.Duration
	cpu       time.Duration
	received  int64
}

// propose sends commands of a size to the leader from concurrent proposers.
func (s *keeperSet) propose(ctx context.Context, size int, duration time.Duration) (loadResult, error) {
	i, err := s.leader()
	if err != nil {
		return loadResult{}, err
	}
	leader := s.keepers[i]
	if _, err := leader.Propose(ctx, command(size)); err != nil {
		return loadResult{}, fmt.Errorf("first command: %w", err)
	}
	var group sync.WaitGroup
	latencies := make([][]time.Duration, proposers)
	failures := make([]error, proposers)
	cpu, received, start := cpuTime(), s.received.Load(), time.Now()
	for p := range proposers {
		group.Go(func() {
			latencies[p], failures[p] = proposeUntil(ctx, leader, size, start.Add(duration))
		})
	}
	group.Wait()
	elapsed := time.Since(start)
	for _, err := range failures {
		if err != nil {
			return loadResult{}, fmt.Errorf("command: %w", err)
		}
	}
	all := slices.Concat(latencies...)
	slices.Sort(all)
	return loadResult{
		commits: len(all), perSecond: float64(len(all)) / elapsed.Seconds(),
		p50: all[len(all)/2], p99: all[len(all)*99/100],
		cpu: cpuTime() - cpu, received: s.received.Load() - received,
	}, nil
}

func proposeUntil(ctx context.Context, k *keeper.Keeper, size int, end time.Time) ([]time.Duration, error) {
	var latencies []time.Duration
	for time.Now().Before(end) {
		sent := time.Now()
		if _, err := k.Propose(ctx, command(size)); err != nil {
			return nil, err
		}
		latencies = append(latencies, time.Since(sent))
	}
	return latencies, nil
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureCommits(ctx context.Context, r *Report) error {
	const keepers, wantPerSecond = 3, 1000
	s, err := startKeepers(keepers)
	if err != nil {
		return err
	}
	defer s.close()
	l, err := s.propose(ctx, claimBytes, commitTime)
	if err != nil {
		return err
	}
	r.AddAtLeast(agreementSuite, "commits of 1 KB over 3 keepers", l.perSecond, wantPerSecond, "1/s")
	r.AddValue(agreementSuite, "commit latency p50, 256 proposers", milliseconds(l.p50), "ms")
	r.AddValue(agreementSuite, "commit latency p99, 256 proposers", milliseconds(l.p99), "ms")
	return nil
}

// measureLeaderKill measures the time from a kill of the leader until a surviving
// keeper commits.
func measureLeaderKill(ctx context.Context, r *Report) error {
	const keepers, wantSeconds = 3, 2
	var worst time.Duration
	for range leaderKills {
		s, err := startKeepers(keepers)
		if err != nil {
			return err
		}
		outage, err := s.killLeader(ctx)
		s.close()
		if err != nil {
			return err
		}
		worst = max(worst, outage)
	}
	r.AddAtMost(agreementSuite, "leader killed to next commit, worst of 5", worst.Seconds(), wantSeconds, "s")
	return nil
}

func (s *keeperSet) killLeader(ctx context.Context) (time.Duration, error) {
	if _, err := s.propose(ctx, claimBytes, warmUp); err != nil {
		return 0, err
	}
	i, err := s.leader()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	s.kill(i)
	for end := start.Add(waitTimeout); time.Now().Before(end); time.Sleep(logPollInterval) {
		if _, err := s.keepers[0].Propose(ctx, command(claimBytes)); err == nil {
			return time.Since(start), nil
		}
	}
	return 0, fmt.Errorf("no commit within %s after the leader was killed", waitTimeout)
}

// measureRestart opens a keeper whose log holds many entries and waits until it
// has applied them all.
func measureRestart(_ context.Context, r *Report) error {
	const wantSeconds = 2
	folder, err := os.MkdirTemp("", "agreement")
	if err != nil {
		return fmt.Errorf("create a folder for a keeper: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := fillLog(folder); err != nil {
		return err
	}
	k := keeper.New(keeper.Options{
		Machine: &countingMachine{}, OnApplied: func(uint64) {}, NodeID: "k0", Folder: folder,
		Dialer:          peers.NewDialer(nil),
		SnapshotEntries: 2 * restartEntries, Log: zerolog.Nop(),
	})
	start := time.Now()
	if err := k.Open(); err != nil {
		return err
	}
	defer k.Kill()
	for k.Applied() < restartEntries {
		if time.Since(start) > waitTimeout {
			return fmt.Errorf("only %d entries applied within %s", k.Applied(), waitTimeout)
		}
		time.Sleep(logPollInterval)
	}
	r.AddAtMost(agreementSuite, "restart with 100,000 entries of 1 KB", time.Since(start).Seconds(), wantSeconds, "s")
	return nil
}

// fillLog writes the log of a keeper in a membership of three.
func fillLog(folder string) error {
	const batch = 1000
	store, err := storage.Open(folder, "k0", func() uint64 { return 1 })
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	data := make([]byte, claimBytes)
	membership := &peerpb.Membership{Members: []*peerpb.Member{
		{Identity: 1, NodeId: "k0"}, {Identity: 2, NodeId: "k1"}, {Identity: 3, NodeId: "k2"},
	}}
	snapshot := &peerpb.LogSnapshot{Index: 1, Term: 1, Membership: membership}
	if err := store.Install(snapshot, &peerpb.HardState{Term: 1, Commit: 1}); err != nil {
		return err
	}
	for first := uint64(2); first <= restartEntries; first += batch {
		var entries []*peerpb.LogEntry
		for i := first; i < first+batch; i++ {
			entries = append(entries, &peerpb.LogEntry{Index: i, Term: 1, Data: data})
		}
		if err := store.Save(&peerpb.HardState{Term: 1, Commit: first + batch - 1}, entries); err != nil {
			return err
		}
	}
	return nil
}

func measureCommandSizes(ctx context.Context, r *Report) error {
	const keepers = 3
	bytes := Slope{Role: "keeper", Name: "bytes received by all keepers for each command", Unit: "B", Per: "command bytes"}
	cpu := Slope{Role: "keeper", Name: "processor time of all keepers for each command", Unit: "us", Per: "command bytes"}
	for _, size := range []int{256, 512, 1024, 2048, 4096, 8192} {
		if err := slopePoint(ctx, keepers, size, float64(size), &bytes, &cpu); err != nil {
			return err
		}
	}
	r.AddSlope(bytes)
	r.AddSlope(cpu)
	return nil
}

func measureKeeperCounts(ctx context.Context, r *Report) error {
	bytes := Slope{Role: "keeper", Name: "bytes received by all keepers for each 1 KB command", Unit: "B", Per: "keepers"}
	cpu := Slope{Role: "keeper", Name: "processor time of all keepers for each 1 KB command", Unit: "us", Per: "keepers"}
	for _, keepers := range []int{1, 3, 5, 7, 9} {
		if err := slopePoint(ctx, keepers, claimBytes, float64(keepers), &bytes, &cpu); err != nil {
			return err
		}
	}
	r.AddSlope(bytes)
	r.AddSlope(cpu)
	return nil
}

// slopePoint adds one measurement to the slopes of bytes and CPU time.
func slopePoint(ctx context.Context, keepers, size int, at float64, bytes, cpu *Slope) error {
	s, err := startKeepers(keepers)
	if err != nil {
		return err
	}
	defer s.close()
	l, err := s.propose(ctx, size, slopeTime)
	if err != nil {
		return err
	}
	bytes.Points = append(bytes.Points, Point{Size: at, Value: float64(l.received) / float64(l.commits)})
	cpu.Points = append(cpu.Points, Point{Size: at, Value: float64(l.cpu.Microseconds()) / float64(l.commits)})
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
