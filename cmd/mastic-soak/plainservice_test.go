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
		"once-1": {200, "ran once-1"}, "once-2": {502, ""}, "once-3": {503, ""}, "again-4": {200, "ran again-4"},
		"again-5": {200, "ran again-4"}, "once-6": {200, "ran once-6"}, "once-7": {0, ""}, "once-8": {503, ""},
	}))
}

func TestSameSeedGivesSameFaults(t *testing.T) {
	a, b := faultSource(7), faultSource(7)
	for range 20 {
		assert.Equal(t, a.IntN(100), b.IntN(100))
	}
}
