package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/samber/lo"
)

// Valid ranges of the settings.
const (
	minDeadline     = 100 * time.Millisecond
	maxDeadline     = time.Hour
	minBodyBytes    = 1 << 10
	maxBodyBytes    = 64 << 20
	minReadTimeout  = 100 * time.Millisecond
	maxReadTimeout  = 5 * time.Minute
	maxBalancerWait = 5 * time.Minute
	minStopTimeout  = time.Second
	maxStopTimeout  = time.Hour
)

var (
	logLevels     = []string{"debug", "info", "warn", "error"}
	sha256Pattern = regexp.MustCompile("^[0-9a-f]{64}$")
	namePattern   = regexp.MustCompile("^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
)

// checker collects the validation errors of one settings file.
type checker struct{ errs []error }

func (c *checker) addError(key string, value any, remedy string) {
	c.errs = append(c.errs, fmt.Errorf("%s = %q: %s", key, fmt.Sprint(value), remedy))
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.addError(key, value, "give a name of up to 63 letters, digits, dots, dashes and underscores")
	}
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addError(key, value, "give an IP address and a port, such as 127.0.0.1:8080")
	}
}

func (c *checker) duration(key string, value Duration, lower, upper time.Duration) {
	if value.Std() < lower || value.Std() > upper {
		c.addError(key, value, fmt.Sprintf("give a duration from %s to %s", lower, upper))
	}
}

func (c *checker) digests(key string, values []string, required bool) {
	if required && len(values) == 0 {
		c.addError(key, "", "list at least one digest; 'masticmount token' generates a token and its digest")
	}
	for _, v := range values {
		if !sha256Pattern.MatchString(v) {
			c.addError(key, v, "give a SHA-256 digest as 64 lower-case hexadecimal digits")
		}
	}
}

func (c *checker) file(key, path string) {
	if _, err := os.Stat(path); err != nil {
		c.addError(key, path, "give the path of a file that the node can read")
	}
}

// Check returns all validation errors joined, or nil.
func (s Settings) Check() error { return errors.Join(s.validationErrors()...) }

func (s Settings) validationErrors() []error {
	c := &checker{}
	s.checkNode(c)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.admin", s.Listen.Admin)
	c.address("listen.peers", s.Listen.Peers)
	c.digests("tokens.operators_sha256", s.Tokens.OperatorsSHA256, true)
	c.digests("tokens.announcers_sha256", s.Tokens.AnnouncersSHA256, s.Has(RoleEntry))
	s.checkTLS(c)
	c.duration("callers.default_deadline", s.Callers.DefaultDeadline, minDeadline, maxDeadline)
	c.duration("callers.read_timeout", s.Callers.ReadTimeout, minReadTimeout, maxReadTimeout)
	if s.Callers.MaxBodyBytes < minBodyBytes || s.Callers.MaxBodyBytes > maxBodyBytes {
		c.addError("callers.max_body_bytes", s.Callers.MaxBodyBytes, fmt.Sprintf("give a number from %d to %d", minBodyBytes, maxBodyBytes))
	}
	if s.Scheduling.Policy != PolicyPlain && s.Scheduling.Policy != PolicyWeighted {
		c.addError("scheduling.policy", s.Scheduling.Policy, "use plain or weighted")
	}
	c.duration("stop.balancer_wait", s.Stop.BalancerWait, 0, maxBalancerWait)
	c.duration("stop.timeout", s.Stop.Timeout, minStopTimeout, maxStopTimeout)
	if !lo.Contains(logLevels, s.Log.Level) {
		c.addError("log.level", s.Log.Level, fmt.Sprintf("use one of %v", logLevels))
	}
	s.checkPeers(c)
	return c.errs
}

func (s Settings) checkNode(c *checker) {
	c.name("node.id", s.Node.ID)
	c.name("node.region", s.Node.Region)
	c.name("node.failure_domain", s.Node.FailureDomain)
	if len(s.Node.Roles) == 0 {
		c.addError("node.roles", "", "give at least one of entry, keeper")
	}
	for _, role := range s.Node.Roles {
		if role != RoleEntry && role != RoleKeeper {
			c.addError("node.roles", role, "use entry or keeper")
		}
	}
	if s.Has(RoleKeeper) && s.Node.DataFolder == "" {
		c.addError("node.data_folder", "", "a keeper needs a folder on a persistent disk")
	}
}

func (s Settings) checkTLS(c *checker) {
	files := map[string]string{"tls.certificate": s.TLS.Certificate, "tls.key": s.TLS.Key, "tls.ca": s.TLS.CA}
	if s.TLS == (TLS{}) {
		return
	}
	for _, key := range []string{"tls.certificate", "tls.key", "tls.ca"} {
		if files[key] == "" {
			c.addError(key, "", "set certificate, key and ca together, or none of them")
			continue
		}
		c.file(key, files[key])
	}
}

func (s Settings) checkPeers(c *checker) {
	seen := map[string]string{}
	for i, p := range s.Peers {
		key := func(field string) string { return fmt.Sprintf("peers[%d].%s", i, field) }
		c.name(key("id"), p.ID)
		c.name(key("failure_domain"), p.FailureDomain)
		c.address(key("address"), p.Address)
		for field, value := range map[string]string{"id": p.ID, "address": p.Address} {
			if other, taken := seen[field+value]; taken {
				c.addError(key(field), value, "the same value as "+other+"; give each node its own")
			}
			seen[field+value] = key(field)
		}
	}
	self, ok := s.Self()
	if !ok {
		c.addError("peers", s.Node.ID, "list every node of the region, including this one")
		return
	}
	if self.FailureDomain != s.Node.FailureDomain {
		c.addError("node.failure_domain", s.Node.FailureDomain, "the node's entry in peers has failure_domain "+self.FailureDomain+"; make them equal")
	}
	if self.Keeper != s.Has(RoleKeeper) {
		c.addError("node.roles", s.Node.Roles, fmt.Sprintf("the node's entry in peers has keeper = %t; make them agree", self.Keeper))
	}
	if len(s.Keepers()) == 0 {
		c.addError("peers", "", "set keeper = true for at least one peer; three keepers in three failure domains survive the loss of one")
	}
}
