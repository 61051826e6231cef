package capacity

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/bench"
)

func TestFitFindsTheLine(t *testing.T) {
	line, err := Fit([]bench.Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 10, Value: 23}})
	require.NoError(t, err)
	assert.InDelta(t, 3, line.Intercept, 1e-9)
	assert.InDelta(t, 2, line.Slope, 1e-9)
	assert.InDelta(t, 1, line.R2, 1e-9)
	assert.InDelta(t, 203, line.At(100), 1e-9)
}

func TestFitNeedsTwoSizes(t *testing.T) {
	_, err := Fit([]bench.Point{{Size: 1, Value: 5}, {Size: 1, Value: 6}})
	assert.Error(t, err)
}

func TestEstimatesRejectUnknownQuantity(t *testing.T) {
	slope := bench.Slope{Role: "entry", Name: "memory", Per: "moons", Points: []bench.Point{{Size: 1}, {Size: 2}}}
	_, err := Estimates([]bench.Slope{slope}, map[string]float64{"nodes": 20})
	assert.ErrorContains(t, err, `"moons"`)
}
