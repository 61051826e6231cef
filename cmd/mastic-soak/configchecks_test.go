package main

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/platform"
)

// Guards against checks that pass for the wrong reason: a wrong document must not be valid, and a right one must.
func TestWrongDocumentsAreInvalid(t *testing.T) {
	for _, version := range []uint64{1, livedVersions, 3 * livedVersions} {
		right := document(version, usualTiming)
		_, err := platform.DecodeDocument(right)
		require.NoError(t, err)
		for _, kind := range wrongKinds[1:] {
			text := bytes.Replace(right, []byte("/lookup/"), []byte(wrongPath), 1)
			_, err := platform.DecodeDocument(bytes.Replace(text, []byte(kind.from), []byte(kind.to), 1))
			assert.Error(t, err, "%q for %q", kind.to, kind.from)
		}
	}
}

// Each probe is about a version that all versions which may be in force by then decide alike.
func TestProbesFollowAcknowledgements(t *testing.T) {
	now := time.Now()
	o := &operator{version: 40, acknowledgements: []acknowledgement{{9, now.Add(-9 * time.Second)}, {20, now.Add(-6 * time.Second)}, {30, now.Add(-3 * time.Second)}, {40, now}}}
	c := &configChecks{operator: o}
	assert.Equal(t, configProbe{kind: "added routes", path: addedPath(30) + "x", version: 30, denies: 404}, c.draw(1, now))
	assert.Equal(t, configProbe{kind: "added keys", path: keyedPath + "x", key: addedKey(30), version: 30, denies: 401}, c.draw(2, now))
	assert.Equal(t, configProbe{kind: "revoked keys", path: keyedPath + "x", key: addedKey(20 - livedVersions), version: 20 - livedVersions, serves: true}, c.draw(3, now))
	held, err := platform.DecodeDocument(document(20, usualTiming))
	require.NoError(t, err)
	assert.Nil(t, held.Account(addedKey(20-livedVersions)))
	assert.NotNil(t, held.Account(addedKey(21-livedVersions)))
}
