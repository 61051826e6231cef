package bench

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	idleSuite = "idle"
	// idleDuration is the length of the measurement.
	idleDuration = 20 * time.Second
	// clockTick is the unit of CPU time in /proc.
	clockTick            = 10 * time.Millisecond
	maxIdleMemory        = 64.0
	maxIdleCPU           = 0.003
	kilobytesPerMegabyte = 1024.0
	// Fields of /proc/PID/stat after the command's closing parenthesis.
	userTimeField   = 11
	systemTimeField = 12
)

// WatchIdle measures the resident memory and CPU time of a process that serves no
// requests. The caller starts the process, as scripts/bench-idle.sh does.
func WatchIdle(ctx context.Context, r *Report, pid int) error {
	before, err := cpuTimeOf(pid)
	if err != nil {
		return err
	}
	select {
	case <-time.After(idleDuration):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := cpuTimeOf(pid)
	if err != nil {
		return err
	}
	memory, err := residentMegabytes(pid)
	if err != nil {
		return err
	}
	r.AddAtMost(idleSuite, "resident memory of an idle node", memory, maxIdleMemory, "MB")
	r.AddAtMost(idleSuite, "processor time of an idle node", float64(after-before)/float64(idleDuration), maxIdleCPU, "cores")
	return nil
}

func cpuTimeOf(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read CPU time of the process: %w", err)
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	ticks := 0
	for _, field := range []int{userTimeField, systemTimeField} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			return 0, fmt.Errorf("parse CPU time of the process: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

func residentMegabytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read memory use of the process: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		var kilobytes float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kilobytes); err == nil {
			return kilobytes / kilobytesPerMegabyte, nil
		}
	}
	return 0, fmt.Errorf("no VmRSS in the status of process %d", pid)
}
