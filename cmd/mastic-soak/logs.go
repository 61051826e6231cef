package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/samber/lo"
)

// crashPatterns are texts that a correct process never logs. A panic that the HTTP library
// recovers from shows only in the log.
var crashPatterns = []string{"panic", "fatal error:", "DATA RACE"}

// logViolations returns the lines of all nodes' logs that contain a crash pattern.
func (r *region) logViolations() (found []string, err error) {
	for _, n := range r.allNodes() {
		err = n.readLog(func(log io.Reader) error {
			lines, err := crashLines(log)
			found = append(found, lo.Map(lines, func(line string, _ int) string { return n.name + " logged: " + line })...)
			return err
		})
		if err != nil {
			return found, err
		}
	}
	return found, nil
}

// readLog passes the node's log to a function.
func (n *node) readLog(read func(log io.Reader) error) error {
	log, err := os.Open(filepath.Join(n.folder, "log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	if err := read(log); err != nil {
		return fmt.Errorf("log of %s: %w", n.name, err)
	}
	return nil
}

// crashLines returns the lines that contain a crash pattern.
func crashLines(log io.Reader) (found []string, err error) {
	err = eachLine(log, func(line string) bool {
		if lo.SomeBy(crashPatterns, func(pattern string) bool { return strings.Contains(line, pattern) }) {
			found = append(found, strings.TrimSpace(line))
		}
		return true
	})
	return found, err
}

// eachLine passes the lines of a log, of any length, until it ends or more returns false.
func eachLine(log io.Reader, more func(line string) bool) error {
	reader := bufio.NewReader(log)
	for {
		line, err := reader.ReadString('\n')
		if !more(line) || errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
