package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/configwatch"
)

// TestLeaderContactAge checks that the reported age stays small during an election, so
// that watchers keep their keeper, and grows while there is no leader.
func TestLeaderContactAge(t *testing.T) {
	var contact leaderContact
	now := time.Unix(1000, 0)
	assert.Equal(t, configwatch.NoContact, contact.age(now, false))
	assert.Zero(t, contact.age(now, true))
	assert.Equal(t, time.Second, contact.age(now.Add(time.Second), false))
	assert.Equal(t, time.Minute, contact.age(now.Add(time.Minute), false))
}
