package cli

import (
	"fmt"
	"os"

	"github.com/masticmount/masticmount/pkg/explain"
	"github.com/masticmount/masticmount/pkg/fault"
)

type explainCommand struct {
	Request string   `arg:"positional,required" help:"identifier of the request"`
	Files   []string `arg:"positional,required" help:"log files of the nodes"`
}

// run prints the events of a request that the logs contain, and the cause of its failure.
func (c *explainCommand) run(s *session) error {
	var lines []explain.Line
	for _, path := range c.Files {
		file, err := os.Open(path)
		if err != nil {
			return fault.New(fault.InvalidRequest, "give readable files", "%v", err)
		}
		read, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return fault.New(fault.InvalidRequest, "give log files", "%s: %v", path, err)
		}
		lines = append(lines, read...)
	}
	found := explain.Request(c.Request, lines)
	if len(found) == 0 {
		return fault.New(fault.NotFound, "add the logs of all entries; only 1 in 64 ordinary answers is logged", "no log line contains request %s", c.Request)
	}
	if err := explain.Write(s.out, found); err != nil {
		return err
	}
	if cause := explain.Cause(found); cause != "" {
		if _, err := fmt.Fprintf(s.out, "cause: %s\n", cause); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	return nil
}
