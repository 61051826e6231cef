// Package bench holds the measurements of `make bench`. Each suite is in its own
// file and adds rows to a report.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"text/tabwriter"
)

// Row is one measured value with its target.
type Row struct {
	Suite  string  `json:"suite"`
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Target string  `json:"target,omitempty"`
	// Met is nil where there is no target.
	Met  *bool  `json:"met,omitempty"`
	Note string `json:"note,omitempty"`
}

// Slope is a series of measurements over sizes, for docs/CAPACITY.md.
type Slope struct {
	Role string `json:"role"`
	// Name says what was measured, such as memory or messages.
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Per says what the size counts, such as upstreams.
	Per    string  `json:"per"`
	Points []Point `json:"points"`
}

// Point is one size and the value measured at it.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Report collects what the suites measure.
type Report struct {
	CPUs   int     `json:"cpus"`
	Go     string  `json:"go"`
	Rows   []Row   `json:"rows"`
	Slopes []Slope `json:"slopes"`
}

// NewReport returns an empty report with the machine's CPU count and the Go version.
func NewReport() *Report { return &Report{CPUs: runtime.NumCPU(), Go: runtime.Version()} }

// AddAtMost adds a row whose target is an upper bound.
func (r *Report) AddAtMost(suite, name string, value, bound float64, unit string) {
	met := value <= bound
	r.Rows = append(r.Rows, Row{Suite: suite, Name: name, Value: value, Unit: unit, Target: fmt.Sprintf("<= %g", bound), Met: &met})
}

// AddAtLeast adds a row whose target is a lower bound.
func (r *Report) AddAtLeast(suite, name string, value, bound float64, unit string) {
	met := value >= bound
	r.Rows = append(r.Rows, Row{Suite: suite, Name: name, Value: value, Unit: unit, Target: fmt.Sprintf(">= %g", bound), Met: &met})
}

// AddValue adds a row without a target.
func (r *Report) AddValue(suite, name string, value float64, unit string) {
	r.Rows = append(r.Rows, Row{Suite: suite, Name: name, Value: value, Unit: unit})
}

// AddSlope adds a series for docs/CAPACITY.md.
func (r *Report) AddSlope(s Slope) { r.Slopes = append(r.Slopes, s) }

// Suite is one set of measurements.
type Suite struct {
	Name string
	Run  func(ctx context.Context, r *Report) error
}

// Print writes the report as a table.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "cpus=%d go=%s\n", r.CPUs, r.Go)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SUITE\tMEASURE\tVALUE\tUNIT\tTARGET\tMET")
	for _, row := range r.Rows {
		met := "-"
		if row.Met != nil {
			met = fmt.Sprint(*row.Met)
		}
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\t%s\t%s\n", row.Suite, row.Name, row.Value, row.Unit, row.Target, met)
	}
	_ = w.Flush()
}

// Save writes the report as JSON into folder under the suite's name.
func (r *Report) Save(folder, name string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("create %s: %w", folder, err)
	}
	path := filepath.Join(folder, name+".json")
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
