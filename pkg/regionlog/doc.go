// Package regionlog replicates one log of commands between keepers.
//
// Machine implements the protocol as a pure state machine: it holds no clock,
// goroutine, file, socket or global random source. Its owner feeds it ticks,
// messages and proposals, and processes each Ready batch in this order: sync the
// snapshot, the hard state and the entries; send the messages; apply the
// committed entries; call Advance. A message must not be sent before the state
// that it reports is synced.
//
// The protocol is Raft: elections with pre-vote and check-quorum, leadership
// transfer, single-server membership changes, learners, snapshots, and
// linearizable reads confirmed by a quorum. A keeper is identified by the
// identity generated when its disk was first formatted. A keeper that lost its
// disk gets a new identity, so it cannot vote without the entries that it
// acknowledged under the old one.
package regionlog
