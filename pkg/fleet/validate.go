package fleet

import (
	"net/netip"
	"strconv"
	"unicode/utf8"

	"github.com/masticmount/masticmount/pkg/fault"
)

// The bounds of an announcement.
const (
	// maxNameBytes bounds identifiers and the names of services, domains, models and groups.
	maxNameBytes = 256
	// maxModels bounds the staged and the loaded models.
	maxModels = 256
	// maxSlots bounds the requests that an upstream runs at once, maxRank the members of a group.
	maxSlots, maxRank = 1 << 20, 1 << 16
	// MaxCount bounds sequence numbers and epochs: larger numbers lose digits where JSON numbers are
	// floating point.
	MaxCount = 1 << 53
	// maxStartTime is the last millisecond of the year 9999.
	maxStartTime = 253402300799999
)

// Normalize returns an announced record with its address in canonical form. It returns an error that
// names the field if a value is not one that a sound upstream announces: such a record names no upstream
// to use, and must not displace another one.
func (u Upstream) Normalize() (Upstream, error) {
	address, err := netip.ParseAddrPort(u.Address)
	if err != nil {
		return u, invalid("address", u.Address).WithCause(err)
	}
	u.Address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port()).String()
	return u, u.Validate()
}

// Validate returns an error if a record has a value that no sound upstream announces. Nodes check the
// records of other nodes, too, as older ones accept more.
func (u Upstream) Validate() error {
	switch {
	case !isHost(u.Address):
		return invalid("address", u.Address)
	case u.ID == "" || u.Service == "":
		return invalid("identifier or service", "empty")
	case u.StartTime > maxStartTime:
		return invalid("start time", u.StartTime)
	case u.Sequence > MaxCount || u.Group.Epoch > MaxCount:
		return invalid("sequence number or epoch", max(u.Sequence, u.Group.Epoch))
	case u.Slots < 0 || u.Slots > maxSlots:
		return invalid("number of slots", u.Slots)
	case u.Group.Rank < 0 || u.Group.Rank > maxRank:
		return invalid("rank", u.Group.Rank)
	case len(u.Staged) > maxModels || len(u.Models) > maxModels:
		return invalid("number of models", max(len(u.Staged), len(u.Models)))
	}
	for _, names := range [][]string{{u.ID, u.Service, u.FailureDomain, u.FabricDomain, u.Group.Group}, u.Staged, u.Models} {
		for _, name := range names {
			if len(name) > maxNameBytes || !utf8.ValidString(name) {
				return invalid("name", strconv.Quote(name[:min(len(name), maxNameBytes)]))
			}
		}
	}
	return nil
}

// isHost reports whether an address may be that of a host. Announcements have IP addresses; a name
// is left to the resolver.
func isHost(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return address != ""
	}
	ip := parsed.Addr().Unmap()
	return parsed.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == "" && ip != broadcast
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

func invalid(field string, value any) *fault.Error {
	return fault.New(fault.InvalidRequest, "announce values that an upstream can have", "the %s is not valid: %v", field, value)
}
