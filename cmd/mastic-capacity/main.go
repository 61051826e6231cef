// Command mastic-capacity prints the tables of docs/CAPACITY.md from recorded
// measurements.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/bench"
	"github.com/masticmount/masticmount/pkg/capacity"
)

type arguments struct {
	Records string `arg:"positional,required" help:"folder of recorded measurements"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args.Records, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(folder string, out io.Writer) error {
	slopes, err := capacity.Load(folder)
	if err != nil {
		return err
	}
	estimates, err := capacity.Estimates(slopes, capacity.Design())
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "| role | measure | unit | per | sizes measured | base | each | R² | at the design size of | value |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|")
	for _, e := range estimates {
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %.4g | %.4g | %.3f | %.4g | %.4g |\n",
			e.Role, e.Name, e.Unit, e.Per, formatSizes(e.Points), e.Line.Intercept, e.Line.Slope, e.Line.R2, e.Size, e.Value)
	}
	return nil
}

func formatSizes(points []bench.Point) string {
	texts := lo.Map(points, func(p bench.Point, _ int) string { return fmt.Sprintf("%g", p.Size) })
	return strings.Join(texts, ", ")
}
