package domain

import (
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/membership"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/placement"
	"github.com/masticmount/masticmount/pkg/state"
)

// Event is an input of the Core.
type Event interface{ event() }

// The events of the Core.
type (
	// AnnouncementReceived carries an announcement that an upstream made to this node.
	AnnouncementReceived struct{ Announcement api.Announcement }
	// EvidenceReported carries evidence from a dispatch of this node.
	EvidenceReported struct{ Evidence membership.Evidence }
	// PacketReceived carries a packet from another node.
	PacketReceived struct{ Packet *peerpb.DomainPacket }
	// PeerConnected reports that a new connection to a peer was opened.
	PeerConnected struct{ Peer string }
	// ConfigChanged carries a new configuration.
	ConfigChanged struct{ Config *state.Config }
	// Tick triggers the actions that are due at the current time.
	Tick struct{}
	// Stopping hands over the coordinator's lease before a planned stop.
	Stopping struct{}
)

func (AnnouncementReceived) event() {}
func (EvidenceReported) event()     {}
func (PacketReceived) event()       {}
func (PeerConnected) event()        {}
func (ConfigChanged) event()        {}
func (Tick) event()                 {}
func (Stopping) event()             {}

// Action is an output of the Core.
type Action interface{ action() }

// The actions of the Core.
type (
	// SendPacket sends a packet to a node.
	SendPacket struct {
		To     string
		Packet *peerpb.DomainPacket
	}
	// SendOrder sends an order to an engine.
	SendOrder struct{ placement.SendOrder }
	// CoordinatorChanged reports that this node became coordinator or ceased to be.
	CoordinatorChanged struct {
		// Fence is 0 if this node is no longer coordinator.
		Fence  uint64
		Reason string
	}
	// GroupChanged reports a change that this node made as coordinator.
	GroupChanged struct{ placement.GroupChanged }
)

func (SendPacket) action()         {}
func (SendOrder) action()          {}
func (CoordinatorChanged) action() {}
func (GroupChanged) action()       {}
