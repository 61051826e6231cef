// Package settings loads and validates a node's TOML settings. It reports all
// errors at once, each with the key, its value and how to correct it.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/lo"
)

// Role is a function that a node performs.
type Role string

// The roles of a node.
const (
	// RoleEntry accepts requests of callers and announcements of upstreams.
	RoleEntry Role = "entry"
	// RoleKeeper stores a replica of the region log on its disk.
	RoleKeeper Role = "keeper"
)

// Duration is a time.Duration that is encoded as text, such as "500ms" or "1m".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 500ms or 1m", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String formats the duration like time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings are the contents of a node's settings file.
type Settings struct {
	Node       Node       `toml:"node"`
	Listen     Listen     `toml:"listen"`
	Tokens     Tokens     `toml:"tokens"`
	TLS        TLS        `toml:"tls"`
	Callers    Callers    `toml:"callers"`
	Scheduling Scheduling `toml:"scheduling"`
	Stop       Stop       `toml:"stop"`
	Log        Log        `toml:"log"`
	// Peers are all nodes of the region, including this one.
	Peers []Peer `toml:"peers"`
}

// Node identifies the process and its location.
type Node struct {
	// ID is unique in the region. Required.
	ID string `toml:"id"`
	// Region of the node. Required.
	Region string `toml:"region"`
	// FailureDomain of this node. Required.
	FailureDomain string `toml:"failure_domain"`
	// Roles of the node: entry, keeper or both. Required.
	Roles []Role `toml:"roles"`
	// DataFolder is the directory of a keeper's files. Required for a keeper.
	DataFolder string `toml:"data_folder"`
}

// Listen holds the addresses that the node listens on.
type Listen struct {
	// Callers is the IP address and port for requests of client accounts. Required.
	Callers string `toml:"callers"`
	// Admin is the IP address and port for operators, announcements and metrics. Required.
	Admin string `toml:"admin"`
	// Peers is the IP address and port for other nodes. Required.
	Peers string `toml:"peers"`
}

// Tokens holds the digests of the tokens of operators and announcers.
type Tokens struct {
	// OperatorsSHA256 lists SHA-256 digests of operators' tokens, in hexadecimal. Required.
	OperatorsSHA256 []string `toml:"operators_sha256"`
	// AnnouncersSHA256 lists SHA-256 digests of announcers' tokens, in hexadecimal. Required for an entry.
	AnnouncersSHA256 []string `toml:"announcers_sha256"`
}

// TLS names the PEM files for TLS on every listener; if all three are empty, the node uses plain text.
type TLS struct {
	// Certificate is the node's certificate; it must be valid for the node's IP addresses.
	Certificate string `toml:"certificate"`
	// Key is the certificate's private key.
	Key string `toml:"key"`
	// CA verifies the certificates that other nodes must present.
	CA string `toml:"ca"`
	// Upstreams enables TLS for connections to upstreams; ca verifies their certificates. Default false.
	Upstreams bool `toml:"upstreams"`
}

// Callers limits the size and the duration of requests.
type Callers struct {
	// DefaultDeadline is the request deadline if the route sets none. From 100ms to 1h; default 1m.
	DefaultDeadline Duration `toml:"default_deadline"`
	// MaxBodyBytes is the maximum size of a request's body. From 1024 to 67108864; default 4194304.
	MaxBodyBytes int `toml:"max_body_bytes"`
	// ReadTimeout is the maximum time for receiving a request. From 100ms to 5m; default 10s.
	ReadTimeout Duration `toml:"read_timeout"`
}

// Policy is a scheduling policy: it decides when and where requests run.
type Policy string

// The scheduling policies.
const (
	// PolicyPlain serves requests in order of arrival, at the target with the least outstanding work.
	PolicyPlain Policy = "plain"
	// PolicyWeighted orders requests by worth, fair share and deadline, shortest job first.
	PolicyWeighted Policy = "weighted"
)

// Scheduling configures how requests are admitted and routed.
type Scheduling struct {
	// Policy is one of plain, weighted. Default weighted.
	Policy Policy `toml:"policy"`
}

// Stop configures the graceful shutdown.
type Stop struct {
	// BalancerWait is the time between failing the readiness check and closing the listeners. From 0s to 5m; default 2s.
	BalancerWait Duration `toml:"balancer_wait"`
	// Timeout is the maximum wait for requests in flight. From 1s to 1h; default 5m.
	Timeout Duration `toml:"timeout"`
}

// Log configures logging.
type Log struct {
	// Level is the minimum level: one of debug, info, warn, error. Default info.
	Level string `toml:"level"`
}

// Peer is one node of the region.
type Peer struct {
	// ID of the node. Required.
	ID string `toml:"id"`
	// FailureDomain of the node. Required.
	FailureDomain string `toml:"failure_domain"`
	// Address is the IP address and port of the node's listener for other nodes. Required.
	Address string `toml:"address"`
	// Keeper is true if the node has the role keeper. Default false.
	Keeper bool `toml:"keeper"`
}

// Default returns the default values of the settings.
func Default() Settings {
	return Settings{
		Callers: Callers{
			DefaultDeadline: Duration(time.Minute),
			MaxBodyBytes:    4 << 20,
			ReadTimeout:     Duration(10 * time.Second),
		},
		Scheduling: Scheduling{Policy: PolicyWeighted},
		Stop:       Stop{BalancerWait: Duration(2 * time.Second), Timeout: Duration(5 * time.Minute)},
		Log:        Log{Level: "info"},
	}
}

// Load reads and validates the settings file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes and validates settings in TOML. Unknown keys and invalid values
// are reported together.
func Parse(data []byte) (Settings, error) {
	s := Default()
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&s)
	var unknown *toml.StrictMissingError
	if err != nil && !errors.As(err, &unknown) {
		return s, syntaxError(err)
	}
	var errs []error
	if unknown != nil {
		errs = append(errs, unknownKeys(unknown)...)
	}
	return s, errors.Join(append(errs, s.validationErrors()...)...)
}

func syntaxError(err error) error {
	var at *toml.DecodeError
	if !errors.As(err, &at) {
		return fmt.Errorf("settings are not valid TOML: %w", err)
	}
	row, column := at.Position()
	return fmt.Errorf("settings are not valid at line %d, column %d: %w; correct the value there", row, column, err)
}

func unknownKeys(err *toml.StrictMissingError) []error {
	return lo.Map(err.Errors, func(e toml.DecodeError, _ int) error {
		row, _ := e.Position()
		return fmt.Errorf("%s at line %d: unknown key; remove it or correct its spelling", strings.Join(e.Key(), "."), row)
	})
}

// Has reports whether the node has a role.
func (s Settings) Has(role Role) bool { return lo.Contains(s.Node.Roles, role) }

// Self returns the peer that describes this node.
func (s Settings) Self() (Peer, bool) {
	return lo.Find(s.Peers, func(p Peer) bool { return p.ID == s.Node.ID })
}

// Keepers returns the peers that are keepers.
func (s Settings) Keepers() []Peer {
	return lo.Filter(s.Peers, func(p Peer, _ int) bool { return p.Keeper })
}

// DomainPeers returns the peers in the node's failure domain, including the node itself.
func (s Settings) DomainPeers() []Peer {
	return lo.Filter(s.Peers, func(p Peer, _ int) bool { return p.FailureDomain == s.Node.FailureDomain })
}

// String returns region, failure domain and identifier for messages.
func (n Node) String() string {
	return strings.Join([]string{n.Region, n.FailureDomain, n.ID}, "/")
}
