package state

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/limits/share"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// maxSpecBytes limits the size of an object's spec.
	maxSpecBytes     = 64 << 10
	maxChangeIDBytes = 128
	// maxRequestsPerSecond is the highest rate limit that can be configured.
	maxRequestsPerSecond = 1e9
	// maxDeadline is the longest deadline that a route can set. Claims and limit
	// shares depend on it: a request must not outlast the lease of its claim, nor the
	// time for which its concurrency slot stays reserved after its node was lost.
	maxDeadline     = share.MaxRequestDuration
	sha256HexLength = 64
)

// namePattern matches valid object names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// CheckSpec validates the spec of one object without regard to other objects. It
// rejects unknown fields, which Machine.Apply accepts: a keeper of an older version
// must not reject a change that a newer one accepts.
func CheckSpec(kind api.Kind, name string, spec []byte) error {
	if _, err := Compile(0, []*peerpb.ConfigObject{{Kind: string(kind), Name: name, Spec: spec}}); err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(spec))
	dec.DisallowUnknownFields()
	if err := dec.Decode(emptySpec(kind)); err != nil {
		return fmt.Errorf("spec is not valid: %w", err)
	}
	return nil
}

func emptySpec(kind api.Kind) any {
	switch kind {
	case api.KindGroup:
		return &api.GroupSpec{}
	case api.KindRoute:
		return &api.RouteSpec{}
	case api.KindAccount:
		return &api.AccountSpec{}
	case api.KindLimit:
		return &api.LimitSpec{}
	case api.KindLabels:
		return &api.LabelsSpec{}
	default:
		return &struct{}{}
	}
}

// validateChange checks the size and syntax of a change's fields.
func validateChange(c *peerpb.ConfigChange) error {
	if c.GetChangeId() == "" || len(c.GetChangeId()) > maxChangeIDBytes {
		return fmt.Errorf("change identifier of %d bytes; give one of 1 to %d", len(c.GetChangeId()), maxChangeIDBytes)
	}
	if !namePattern.MatchString(c.GetName()) {
		return fmt.Errorf("name %q; use up to 128 letters, digits, '.', '_', ':' and '-'", c.GetName())
	}
	if len(c.GetSpec()) > maxSpecBytes {
		return fmt.Errorf("spec of %d bytes; use up to %d", len(c.GetSpec()), maxSpecBytes)
	}
	return nil
}

// checkReferences checks the references between the changed object and others.
func (c *Config) checkReferences(change *peerpb.ConfigChange) error {
	switch api.Kind(change.GetKind()) {
	case api.KindAccount:
		return c.checkAccountDeletion(change)
	case api.KindLimit:
		return c.checkLimitAccount(change)
	default:
		return nil
	}
}

func (c *Config) checkAccountDeletion(change *peerpb.ConfigChange) error {
	if !change.GetDelete() {
		return nil
	}
	if limit, ok := c.LimitNames[change.GetName()]; ok {
		return fmt.Errorf("account %q has the limit %q; delete the limit first", change.GetName(), limit)
	}
	return nil
}

func (c *Config) checkLimitAccount(change *peerpb.ConfigChange) error {
	if change.GetDelete() {
		return nil
	}
	var spec api.LimitSpec
	if err := decode(change.GetSpec(), &spec); err != nil {
		return err
	}
	if _, ok := c.Accounts[spec.Account]; !ok {
		return fmt.Errorf("client account %q does not exist; create it first", spec.Account)
	}
	return nil
}

func isSHA256(digest string) bool {
	raw, err := hex.DecodeString(digest)
	return err == nil && len(digest) == sha256HexLength && hex.EncodeToString(raw) == digest
}
