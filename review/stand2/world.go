//go:build review

// Command stand2 runs the project's entry and keepers as separate processes on loopback addresses, between stand-ins
// of clients, plain servers, model workers and the operator, and checks one rule. review/N/run.sh starts it.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine, and the bounds of the small deployment, as the users' pages give them.
const (
	frontPort, readyPort, controlPort = 8227, 8220, 8229
	beatInterval                      = 1200 * time.Millisecond
	host                              = "ficu95.example"
)

const bounds = `{"seed_lag_s":3,"address_reuse_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,` +
	`"loss_slack_ms":200,"config_apply_ms":2000,"downgrade_ms":250,"max_skew_ms":5000,"strict_revoke":true,"revoke_ms":5000,` +
	`"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":105,"recovery_s":12,"pass_ms":120,"retry_after_s":0,"stall_ms":4000,` +
	`"require_fencing":false,"ceiling_window_s":5,"ceiling_overage":1.1}`

// machine is one process of the project.
type machine struct {
	name, role, ip, settings string
	cmd                      *exec.Cmd
	done                     chan struct{}
}

// world holds all that a case runs.
type world struct {
	folder, subnet string
	keepers        []*machine
	entries        []*machine
	servers        []*serverProcess

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

// newWorld returns a world in a temporary folder, on loopback addresses of a free subnet.
func newWorld(record string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, record: f, began: time.Now()}
	for i := 100 + os.Getpid()%100; i < 250; i++ {
		subnet := fmt.Sprintf("127.%d.%d", i, os.Getpid()%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", subnet, controlPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		w.subnet = subnet
		return w, nil
	}
	return nil, fmt.Errorf("no free loopback subnet")
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.subnet, n) }

// start starts keepers and entries.
func (w *world) start(keepers, entries int) error {
	for i := range keepers {
		w.keepers = append(w.keepers, &machine{name: fmt.Sprintf("core-%d", i+1), role: "keeper", ip: w.ip(i + 1)})
	}
	for i := range entries {
		w.entries = append(w.entries, &machine{name: fmt.Sprintf("edge-%d", i+1), role: "entry", ip: w.ip(i + 21)})
	}
	for i, m := range append(append([]*machine{}, w.keepers...), w.entries...) {
		if err := w.writeSettings(m, i, true); err != nil {
			return err
		}
		if err := w.launch(m); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) writeSettings(m *machine, index int, bootstrap bool) error {
	var seeds []string
	for _, k := range w.keepers[:min(3, len(w.keepers))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", k.ip, controlPort))
	}
	zone := []string{"z-a", "z-b", "z-c"}[index%3]
	s := map[string]any{
		"node": m.name, "role": m.role, "zone": zone, "region": "z", "zones": map[string]string{"z-a": "z", "z-b": "z", "z-c": "z"}, "ip": m.ip,
		"internal_port_range": []int{7340, 7355}, "seeds": seeds, "bootstrap": bootstrap, "counts_as_loss": m.role == "keeper",
		"discovery": "self_register", "entry": "virtual_ip", "heartbeat_interval_ms": beatInterval.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "gangs"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0}, "bounds": json.RawMessage(bounds), "config_mode": "highest",
	}
	if m.role == "keeper" {
		data := filepath.Join(w.folder, m.name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		s["machine_class"], s["serves"], s["data_dir"] = "core", []string{"control_plane"}, data
		s["listen"] = map[string]string{"control": fmt.Sprintf("%s:%d", m.ip, controlPort)}
		s["limits"] = map[string]any{"cpu_share": 0.48, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
	} else {
		s["machine_class"], s["serves"], s["data_dir"] = "edge", []string{"edge"}, nil
		s["listen"] = map[string]string{"front": fmt.Sprintf("%s:%d", m.ip, frontPort), "ready": fmt.Sprintf("%s:%d", m.ip, readyPort)}
		s["limits"] = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0}
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(w.folder, m.name+".json")
	return os.WriteFile(m.settings, data, 0o600)
}

// launch starts a machine's process as the deploy file does.
func (w *world) launch(m *machine) error {
	log, err := os.OpenFile(filepath.Join(w.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/mastic-platformd", m.role)
	cmd.Env = []string{"MASTICMOUNT_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + w.folder}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done = cmd, done
	w.note("started %s pid %d", m.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		w.note("ended %s: %v", m.name, err)
		_ = log.Close()
		close(done)
	}()
	return nil
}

// stop ends all processes.
func (w *world) stop() {
	for _, s := range w.servers {
		s.crash()
	}
	for _, m := range append(append([]*machine{}, w.entries...), w.keepers...) {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}

func (w *world) front(i int) string { return fmt.Sprintf("%s:%d", w.entries[i].ip, frontPort) }

// control sends one call to a keeper.
func (w *world) control(k int, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", w.keepers[k].ip, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// anyControl sends a call to one keeper after the other until one gives an answer below 500.
func (w *world) anyControl(method, path string, body []byte) (int, []byte) {
	for try := 0; try < 60; try++ {
		status, answer, err := w.control(try%len(w.keepers), method, path, body)
		if err == nil && status < 500 {
			return status, answer
		}
		time.Sleep(150 * time.Millisecond)
	}
	return 0, nil
}

// replace sends a manifest until it is acknowledged.
func (w *world) replace(manifest map[string]any) error {
	data, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	status, answer := w.anyControl(http.MethodPost, "/api/config/replace", data)
	w.note("manifest version %v: %d %s", manifest["version"], status, answer)
	if status != http.StatusOK {
		return fmt.Errorf("manifest: status %d %s", status, answer)
	}
	return nil
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range w.entries {
		for !ready(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("all entries are ready")
	return nil
}

func ready(m *machine) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", m.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// upstream is a stand-in of a server. serve handles one connection.
type upstream struct {
	id, service, address, zone, state string
	born                              int64
	slots                             int
	extra                             map[string]any
	listener                          net.Listener

	mu  sync.Mutex
	seq int
	// runs counts the requests that a plain server has run.
	runs int
}

func (w *world) newUpstream(n int, id, service string, serve func(u *upstream, c net.Conn)) (*upstream, error) {
	u := &upstream{id: id, service: service, address: fmt.Sprintf("%s:%d", w.ip(n), 8080), zone: []string{"z-a", "z-b", "z-c"}[n%3], state: "ready", born: time.Now().UnixMilli(), slots: 6}
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return nil, err
	}
	u.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(u, c)
		}
	}()
	return u, nil
}

// beat sends one ping.
func (w *world) beat(u *upstream) {
	u.mu.Lock()
	u.seq++
	body := map[string]any{"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": u.state, "cold_left_ms": 0, "seq": u.seq, "born": u.born}
	for k, v := range u.extra {
		body[k] = v
	}
	u.mu.Unlock()
	data, _ := json.Marshal(body)
	for k := range w.keepers {
		if status, _, err := w.control((k+len(u.id)+int(u.born))%len(w.keepers), http.MethodPost, "/api/instances/"+u.id+"/heartbeat", data); err == nil && status == http.StatusOK {
			return
		}
	}
}

func (w *world) beatForever(u *upstream, stop <-chan struct{}) {
	for {
		w.beat(u)
		select {
		case <-time.After(beatInterval):
		case <-stop:
			return
		}
	}
}

// request is a request as a server read it.
type request struct {
	line    string
	headers http.Header
	body    []byte
}

// readRequest reads one request without changing it.
func readRequest(r *bufio.Reader) (*request, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	q := &request{line: strings.TrimRight(line, "\r\n"), headers: http.Header{}}
	length, chunked := 0, false
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return q, err
		}
		text = strings.TrimRight(text, "\r\n")
		if text == "" {
			break
		}
		name, value, _ := strings.Cut(text, ":")
		value = strings.TrimSpace(value)
		q.headers.Add(name, value)
		switch strings.ToLower(name) {
		case "content-length":
			_, _ = fmt.Sscan(value, &length)
		case "transfer-encoding":
			chunked = true
		}
	}
	if chunked {
		for {
			size := 0
			text, err := r.ReadString('\n')
			if err != nil {
				return q, err
			}
			if _, err := fmt.Sscanf(text, "%x", &size); err != nil {
				return q, err
			}
			part := make([]byte, size+2)
			if _, err := io.ReadFull(r, part); err != nil {
				return q, err
			}
			if size == 0 {
				return q, nil
			}
			q.body = append(q.body, part[:size]...)
		}
	}
	q.body = make([]byte, length)
	_, err = io.ReadFull(r, q.body)
	return q, err
}

// answer is what a client got: raw bytes until the connection ended or the time was over.
func (w *world) raw(entry int, text string, limit time.Duration) (string, error) {
	c, err := net.DialTimeout("tcp", w.front(entry), time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	data, err := io.ReadAll(c)
	return string(data), err
}
