package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPlainServiceViolations(t *testing.T) {
	s := &plainService{runs: map[string]int{"once-1": 1, "once-2": 2, "once-3": 1, "again-4": 2, "again-5": 1}}
	assert.ElementsMatch(t, []string{
		"once-2 ran 2 times",
		"once-3 was answered 503, which means not executed, but ran",
		`again-5 got a wrong answer: "ran again-4"`,
		"once-6 was answered but did not run",
	}, s.violations(map[string]answer{
		"once-1": {status: 200, body: "ran once-1"}, "once-2": {status: 502, body: ""}, "once-3": {status: 503, body: ""}, "again-4": {status: 200, body: "ran again-4"},
		"again-5": {status: 200, body: "ran again-4"}, "once-6": {status: 200, body: "ran once-6"}, "once-7": {status: 0, body: ""}, "once-8": {status: 503, body: ""},
	}))
}

func TestSameSeedGivesSameFaults(t *testing.T) {
	a, b := faultSource(7), faultSource(7)
	for range 20 {
		assert.Equal(t, a.IntN(100), b.IntN(100))
	}
}
