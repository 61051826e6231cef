package domain

import (
	"time"

	"github.com/masticmount/masticmount/pkg/coordinator"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// leasePacket encodes a message of the coordinator election.
func leasePacket(message any) *peerpb.DomainPacket {
	p := &peerpb.DomainPacket{}
	switch m := message.(type) {
	case coordinator.Request:
		p.LeaseRequest = &peerpb.LeaseRequest{Domain: m.Domain, From: encodeHolder(m.From), Round: m.Round, Fence: m.Fence}
	case coordinator.Reply:
		p.LeaseReply = &peerpb.LeaseReply{
			Domain: m.Domain, To: encodeHolder(m.To), Round: m.Round, Granted: m.Granted,
			Highest: m.Highest, RemainingMs: uint32(m.Remaining.Milliseconds()),
		}
	case coordinator.Release:
		p.LeaseRelease = &peerpb.LeaseRelease{Domain: m.Domain, From: encodeHolder(m.From), Round: m.Round}
	}
	return p
}

// leaseMessage decodes a message of the coordinator election. It returns nil if the
// packet carries none.
func leaseMessage(p *peerpb.DomainPacket) any {
	switch {
	case p.GetLeaseRequest() != nil:
		m := p.GetLeaseRequest()
		return coordinator.Request{Domain: m.GetDomain(), From: decodeHolder(m.GetFrom()), Round: m.GetRound(), Fence: m.GetFence()}
	case p.GetLeaseReply() != nil:
		m := p.GetLeaseReply()
		return coordinator.Reply{
			Domain: m.GetDomain(), From: p.GetFrom(), To: decodeHolder(m.GetTo()), Round: m.GetRound(), Granted: m.GetGranted(),
			Highest: m.GetHighest(), Remaining: time.Duration(m.GetRemainingMs()) * time.Millisecond,
		}
	case p.GetLeaseRelease() != nil:
		m := p.GetLeaseRelease()
		return coordinator.Release{Domain: m.GetDomain(), From: decodeHolder(m.GetFrom()), Round: m.GetRound()}
	default:
		return nil
	}
}

func encodeHolder(h coordinator.Holder) *peerpb.LeaseHolder {
	return &peerpb.LeaseHolder{Node: h.Node, Incarnation: h.Incarnation}
}

func decodeHolder(h *peerpb.LeaseHolder) coordinator.Holder {
	return coordinator.Holder{Node: h.GetNode(), Incarnation: h.GetIncarnation()}
}
