package main

import (
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func containsText(all []string, text string) bool {
	return slices.ContainsFunc(all, func(s string) bool { return strings.Contains(s, text) })
}

// Guards against silences that lose data or end connections: the upstream would not be sound.
func TestSilenceDelaysAllAndLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pauses := &silence{}
		near, far := net.Pipe()
		conn := &pausableConn{Conn: near, silence: pauses}
		began := time.Now()
		assert.NoError(t, conn.SetReadDeadline(began.Add(minIdle)))
		pauses.begin(minSilence)
		pauses.begin(minSilence / 2)
		go func() { _, _ = far.Write([]byte("request")) }()
		buf := make([]byte, 16)
		n, err := conn.Read(buf)
		assert.NoError(t, err)
		assert.Equal(t, "request", string(buf[:n]))
		assert.Equal(t, minSilence, time.Since(began))
		pauses.begin(minSilence)
		go func() { _, _ = conn.Write([]byte("answer")) }()
		n, err = far.Read(buf)
		assert.NoError(t, err)
		assert.Equal(t, "answer", string(buf[:n]))
		assert.Equal(t, 2*minSilence, time.Since(began))
		assert.False(t, pauses.wait())
	})
}
