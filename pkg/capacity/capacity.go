// Package capacity estimates the resources of each role at the design size from
// recorded measurements.
package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/masticmount/masticmount/pkg/bench"
)

// Line is a straight line fitted to a slope's points by least squares.
type Line struct {
	// Intercept is the value at size 0.
	Intercept float64
	// Slope is the increase per unit of size.
	Slope float64
	// R2 is the coefficient of determination, 1 for a perfect fit.
	R2 float64
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the least-squares line through points; it needs at least two
// different sizes.
func Fit(points []bench.Point) (Line, error) {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	denominator := n*sumXX - sumX*sumX
	if len(points) < 2 || denominator == 0 {
		return Line{}, fmt.Errorf("a fit needs two different sizes, got %d points", len(points))
	}
	line := Line{Slope: (n*sumXY - sumX*sumY) / denominator}
	line.Intercept = (sumY - line.Slope*sumX) / n
	line.R2 = rSquared(points, line, sumY/n)
	return line, nil
}

func rSquared(points []bench.Point, line Line, mean float64) float64 {
	var residual, total float64
	for _, p := range points {
		residual += square(p.Value - line.At(p.Size))
		total += square(p.Value - mean)
	}
	if total == 0 {
		return 1
	}
	return 1 - residual/total
}

func square(x float64) float64 { return x * x }

// Estimate is one measure of a role, evaluated at the design size.
type Estimate struct {
	bench.Slope
	Line Line
	// Size is the design size of what the slope counts.
	Size float64
	// Value is the value of the line at Size.
	Value float64
}

// Load reads the slopes of all records in a folder, sorted by role and name.
func Load(folder string) ([]bench.Slope, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", folder, err)
	}
	var slopes []bench.Slope
	for _, path := range paths {
		report, err := read(path)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, report.Slopes...)
	}
	sort.SliceStable(slopes, func(i, j int) bool {
		if slopes[i].Role != slopes[j].Role {
			return slopes[i].Role < slopes[j].Role
		}
		return slopes[i].Name < slopes[j].Name
	})
	return slopes, nil
}

func read(path string) (bench.Report, error) {
	var report bench.Report
	data, err := os.ReadFile(path)
	if err != nil {
		return report, fmt.Errorf("read record: %w", err)
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return report, fmt.Errorf("decode record %s: %w", path, err)
	}
	return report, nil
}

// Estimates fits a line to each slope and evaluates it at the design size. A slope
// over a quantity that design does not contain is an error.
func Estimates(slopes []bench.Slope, design map[string]float64) ([]Estimate, error) {
	estimates := make([]Estimate, 0, len(slopes))
	for _, s := range slopes {
		size, ok := design[s.Per]
		if !ok {
			return nil, fmt.Errorf("slope %s of %s is over %q, which has no design size", s.Name, s.Role, s.Per)
		}
		line, err := Fit(s.Points)
		if err != nil {
			return nil, fmt.Errorf("slope %s of %s: %w", s.Name, s.Role, err)
		}
		estimates = append(estimates, Estimate{Slope: s, Line: line, Size: size, Value: line.At(size)})
	}
	return estimates, nil
}
