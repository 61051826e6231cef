//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The ports are the same on all nodes, which have loopback addresses of their own.
var callerPort, readyPort, controlPort, peerPort int

// memoryMB and the bounds are those of the users' site fsc-boiler.
const memoryMB = 284

// setPorts chooses ports that are free on all addresses.
func (d *deployment) setPorts() error {
	for range 100 {
		base := 20000 + rand.IntN(10000)
		callerPort, readyPort, controlPort, peerPort = base, base+1, base+2, base+3
		if d.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (d *deployment) portsFree() bool {
	for _, n := range d.nodes() {
		for _, port := range []int{callerPort, readyPort, controlPort, peerPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(n.ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// node is one process of the system.
type node struct {
	name, role, ip, folder string
	zone                   int
	bootstrap              bool
	mu                     sync.Mutex
	process                *exec.Cmd
	exited                 chan struct{}
}

// deployment is a small deployment of the system with its operator.
type deployment struct {
	binary, folder string
	subnet         int
	rec            *record
	keepers        []*node
	entries        []*node
	client         *http.Client
}

func newDeployment(rec *record, binary string, subnet, keepers, entries int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-stand3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{binary: binary, folder: folder, subnet: subnet, rec: rec, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for i := range keepers {
		d.keepers = append(d.keepers, &node{name: fmt.Sprintf("keeper-%d", i), role: "keeper", ip: d.ip(i + 1), zone: i % 3, bootstrap: true})
	}
	for i := range entries {
		d.entries = append(d.entries, &node{name: fmt.Sprintf("entry-%d", i), role: "entry", ip: d.ip(keepers + i + 1), zone: i % 3, bootstrap: true})
	}
	return d, d.setPorts()
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("127.0.%d.%d", d.subnet, host) }

func (d *deployment) nodes() []*node { return append(append([]*node(nil), d.keepers...), d.entries...) }

// startAll starts all nodes for the first time.
func (d *deployment) startAll() error {
	for _, n := range d.nodes() {
		if err := d.start(n); err != nil {
			return err
		}
	}
	for _, n := range d.nodes() {
		n.bootstrap = false
	}
	return nil
}

func (d *deployment) writeSettings(n *node) (string, error) {
	var seeds []string
	for _, k := range d.keepers[:min(3, len(d.keepers))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", k.ip, controlPort))
	}
	listen := map[string]string{"control": fmt.Sprintf("%s:%d", n.ip, controlPort)}
	class, dataFolder, serves := "core", any(filepath.Join(d.folder, n.name, "data")), []string{"control_plane"}
	if n.role == "entry" {
		listen = map[string]string{"front": fmt.Sprintf("%s:%d", n.ip, callerPort), "ready": fmt.Sprintf("%s:%d", n.ip, readyPort)}
		class, dataFolder, serves = "edge", nil, []string{"edge"}
	}
	if err := os.MkdirAll(filepath.Join(d.folder, n.name, "data"), 0o755); err != nil {
		return "", err
	}
	data, err := json.Marshal(map[string]any{
		"node": n.name, "role": n.role, "machine_class": class, "serves": serves, "ip": n.ip, "zone": fmt.Sprintf("zone-%d", n.zone), "region": "r",
		"zones": map[string]string{"zone-0": "r", "zone-1": "r", "zone-2": "r"}, "listen": listen, "internal_port_range": []int{peerPort, peerPort + 15},
		"seeds": seeds, "bootstrap": n.bootstrap, "counts_as_loss": n.role == "keeper",
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 128},
		"data_dir": dataFolder, "discovery": "self_register", "entry": "virtual_ip", "heartbeat_interval_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "gangs"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000, "strict_revoke": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "budget_slack": 109, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "stall_ms": 4000, "require_fencing": false,
			"ceiling_window_s": 5, "ceiling_overage": 1.1,
		},
		"config_mode": "highest",
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.folder, n.name, "local.json")
	return path, os.WriteFile(path, data, 0o600)
}

// start starts a node with the command of the deploy file.
func (d *deployment) start(n *node) error {
	settings, err := d.writeSettings(n)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, n.name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = exec.Command(d.binary, n.role)
	n.process.Env = []string{"MASTICMOUNT_CONFIG=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	process, exited := n.process, make(chan struct{})
	n.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	d.rec.add("%s started", n.name)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// Fails only if the process has ended.
	_ = n.process.Process.Signal(s)
}

// stopAll ends all processes and deletes their folders.
func (d *deployment) stopAll() {
	for _, n := range d.nodes() {
		if n.process != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// post calls a keeper's control interface; status 0 is a call without an answer.
func (d *deployment) post(k *node, path string, body []byte) (status int, answer string) {
	resp, err := d.client.Post(fmt.Sprintf("http://%s:%d%s", k.ip, controlPort, path), "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// replace sends a manifest to one keeper after the other until it is acknowledged.
func (d *deployment) replace(manifest []byte, until time.Time) bool {
	for i := 0; time.Now().Before(until); i++ {
		if status, _ := d.post(d.keepers[i%len(d.keepers)], "/api/config/replace", manifest); status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// ready reports whether an entry says that it is ready.
func (d *deployment) ready(n *node) bool {
	resp, err := d.client.Get(fmt.Sprintf("http://%s:%d/api/ready", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (d *deployment) awaitReady(until time.Time) bool {
	for time.Now().Before(until) {
		all := true
		for _, n := range d.entries {
			all = all && d.ready(n)
		}
		if all {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (n *node) front() string { return net.JoinHostPort(n.ip, strconv.Itoa(callerPort)) }
