//go:build review

// Command review-stand starts a small deployment of the project's own programs on loopback addresses, plays one
// disruption with stand-ins for clients, servers and the operator, and checks one rule.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds of the pages for the site ksgr-clipart.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	heartbeat   = 1200 * time.Millisecond
	memoryMB    = 284
)

type node struct {
	name, role, ip, zone, folder string
	process                      *exec.Cmd
	exited                       chan struct{}
}

type deployment struct {
	binary, folder   string
	base             int
	ports            map[string]int
	keepers, entries []*node
	record           *record
}

// record writes what happened, with seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// freePorts returns ports that are free on all addresses of the deployment.
func freePorts(base, hosts int, names ...string) (map[string]int, error) {
	ports := map[string]int{}
	for port := 21000 + os.Getpid()%20000; len(ports) < len(names) && port < 60000; port++ {
		free := true
		for host := 1; host <= hosts && free; host++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", base, host, port))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			ports[names[len(ports)]] = port
		}
	}
	if len(ports) < len(names) {
		return nil, fmt.Errorf("no free ports")
	}
	return ports, nil
}

func newDeployment(binary string, r *record, keepers, entries int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	base := 100 + os.Getpid()%100
	ports, err := freePorts(base, keepers+entries, "front", "ready", "control", "peer")
	if err != nil {
		return nil, err
	}
	d := &deployment{binary: binary, folder: folder, base: base, ports: ports, record: r}
	for i := range keepers + entries {
		n := &node{ip: fmt.Sprintf("127.0.%d.%d", base, i+1), zone: fmt.Sprintf("zone-%c", 'a'+i%3)}
		if i < keepers {
			n.name, n.role = fmt.Sprintf("core-%d", i+1), "keeper"
			d.keepers = append(d.keepers, n)
		} else {
			n.name, n.role = fmt.Sprintf("edge-%d", i-keepers+1), "entry"
			d.entries = append(d.entries, n)
		}
		n.folder = filepath.Join(folder, n.name)
		if err := os.MkdirAll(filepath.Join(n.folder, "data"), 0o755); err != nil {
			return nil, err
		}
		if err := d.writeSettings(n, true, keepers); err != nil {
			return nil, err
		}
	}
	for _, n := range append(append([]*node(nil), d.keepers...), d.entries...) {
		if err := d.start(n); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) address(n *node, port string) string {
	return fmt.Sprintf("%s:%d", n.ip, d.ports[port])
}

func (d *deployment) writeSettings(n *node, bootstrap bool, keepers int) error {
	var seeds []string
	for i := range keepers {
		seeds = append(seeds, fmt.Sprintf("127.0.%d.%d:%d", d.base, i+1, d.ports["control"]))
	}
	s := map[string]any{
		"node": n.name, "role": n.role, "ip": n.ip, "zone": n.zone, "region": "r",
		"zones":               map[string]string{"zone-a": "r", "zone-b": "r", "zone-c": "r"},
		"internal_port_range": []int{d.ports["peer"], d.ports["peer"]},
		"seeds":               seeds, "bootstrap": bootstrap, "heartbeat_interval_ms": heartbeat.Milliseconds(),
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
			"strict_revoke": true, "revoke_ms": 5000, "recovery_s": 12, "stall_ms": 4000, "require_fencing": false,
		},
	}
	if n.role == "keeper" {
		s["machine_class"], s["serves"], s["counts_as_loss"] = "core", []string{"control_plane"}, true
		s["listen"] = map[string]string{"control": d.address(n, "control")}
		s["data_dir"] = filepath.Join(n.folder, "data")
		s["limits"] = map[string]any{"cpu_share": 0.24, "cores": 1, "memory_mb": 280, "max_fds": 4096, "disk_mb": 128}
	} else {
		s["machine_class"], s["serves"], s["counts_as_loss"] = "edge", []string{"edge"}, false
		s["listen"] = map[string]string{"front": d.address(n, "front"), "ready": d.address(n, "ready")}
		s["limits"] = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4200, "disk_mb": 0}
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(n.folder, "settings.json"), data, 0o600)
}

func (d *deployment) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(d.binary, n.role)
	n.process.Env = append(os.Environ(), "MASTICMOUNT_CONFIG="+filepath.Join(n.folder, "settings.json"))
	n.process.Stdout, n.process.Stderr = log, log
	// The process ends with this one.
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	d.record.add("%s started", n.name)
	exited, process := make(chan struct{}), n.process
	n.exited = exited
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.process.Process.Signal(s) }

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

func (d *deployment) stop() {
	for _, n := range append(append([]*node(nil), d.keepers...), d.entries...) {
		if n.process != nil {
			n.signal(syscall.SIGCONT)
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("folders kept:", d.folder)
	}
}

// replace sends a manifest until it is acknowledged.
func (d *deployment) replace(manifest map[string]any, within time.Duration) error {
	body, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, k := range d.keepers {
			resp, err := client.Post("http://"+d.address(k, "control")+"/api/config/replace", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.record.add("manifest %v acknowledged by %s", manifest["version"], k.name)
				return nil
			}
			if resp.StatusCode < 500 {
				return fmt.Errorf("manifest refused: %d %s", resp.StatusCode, text)
			}
		}
	}
	return fmt.Errorf("the manifest was not acknowledged within %v", within)
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			if resp, err := client.Get("http://" + d.address(e, "ready") + "/api/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.entries) {
			return nil
		}
	}
	return fmt.Errorf("the entries were not ready within %v", within)
}

// manifest returns a manifest with one plain service, reached by an idempotent and a run-once route.
func manifest(version int) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "review.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "slo_ms": 120, "priority": 2,
			"service": "desk", "max_attempts": 2, "public": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("lookup", "/lookup/", "idempotent"), route("grant", "/grant/", "non_idempotent")},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "library", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}
}
