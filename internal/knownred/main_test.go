package main

import (
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
)

const sampleOutput = `--- FAIL: TestListed (0.00s)
    --- FAIL: TestListed/sub (0.00s)
FAIL
FAIL	example/a	0.1s
ok  	example/b	0.1s
FAIL	example/c [build failed]
`

func TestFailuresNamesTestsAndUnbuildablePackages(t *testing.T) {
	assert.Equal(t, []string{"TestListed", "example/c"}, failures(sampleOutput))
}

func TestVerdictIgnoresOnlyListedTests(t *testing.T) {
	known := knownTests([]byte("# comment line\nexample/a TestListed | seed 1 | seen | 4\n"))
	assert.Equal(t, 0, verdict(true, nil, known, io.Discard))
	assert.Equal(t, 0, verdict(false, []string{"TestListed"}, known, io.Discard))
	assert.Equal(t, 1, verdict(false, []string{"TestListed", "TestOther"}, known, io.Discard))
	assert.Equal(t, 1, verdict(false, nil, known, io.Discard), "a failure without a test name is never ignored")
}
