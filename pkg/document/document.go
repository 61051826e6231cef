// Package document defines the decoded configuration document of the operators and looks
// up the route, the client account and the service of a request. It does no I/O.
package document

import (
	"fmt"
	"time"
)

// Idempotency says whether a request may run more than once.
type Idempotency int

const (
	// AtMostOnce requests run at most once.
	AtMostOnce Idempotency = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Resumable streams may be resumed at another upstream after the last event.
	Resumable
)

// Document is one version of the configuration. It is immutable.
type Document struct {
	// Version is set by the operators; higher versions replace lower ones.
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	Accounts []Account
	Limits   Limits

	hosts map[string]*pathTree
	byKey map[string]*Account
}

// Route configures the requests below a path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Stream is true if responses are event streams.
	Stream      bool
	Idempotency Idempotency
	// Timeout is the longest time that a request may wait.
	Timeout time.Duration
	// EventTimeout is the time without an event, the first one included, after which callers leave a stream; 0 sets no bound.
	EventTimeout time.Duration
	// Priority orders routes at overload; 0 is the highest.
	Priority int
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Services are the destinations, which share the route's requests by weight.
	Services []WeightedService
}

// WeightedService is one destination of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one upstream accepts from all its
	// clients.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that a group runs concurrently.
	Slots  int
	Models []Model
	// StepTime is the duration of one token step of a group with a TimeFactor of 1.
	// StepTimePerRequest is added for each request that is decoding.
	StepTime, StepTimePerRequest time.Duration
	// PromptTokensPerSecond is the prefill rate.
	PromptTokensPerSecond float64
	// TokensPerEvent is the number of token steps in one pass, and so per stream event.
	TokensPerEvent int
	// LoadsPerSecond is the maximum rate at which loads from the weight store start.
	// LoadsAtOnce is the number of parallel loads at which they start to slow each other down.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// StagedModels is the number of models that a VM keeps staged.
	StagedModels int
	// OpenTime is the time from the order to open a group to its first request.
	OpenTime time.Duration
}

// Model is one model of a service's engines.
type Model struct {
	Name string
	// GroupSize is the number of VMs that a replica spans.
	GroupSize int
	// Share is the model's initial share of the work, from 0 to 1.
	Share float64
	// TimeFactor is a factor by which all times of a group are multiplied.
	TimeFactor float64
	// LoadTime is the time of a load from the weight store, WarmLoadTime that of a load from
	// the VM's memory.
	LoadTime, WarmLoadTime time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority replaces the route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// InvalidError is the reason why a document is refused.
type InvalidError struct {
	// Where names the invalid part; Remedy says how to fix it.
	Where, Remedy string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration document: %s: %s", e.Where, e.Remedy)
}

// Index validates the document and builds its lookup tables.
func (d *Document) Index() error {
	d.hosts, d.byKey = map[string]*pathTree{}, map[string]*Account{}
	for i := range d.Routes {
		if err := d.indexRoute(&d.Routes[i]); err != nil {
			return err
		}
	}
	for i := range d.Accounts {
		account := &d.Accounts[i]
		for _, key := range account.Keys {
			if other, taken := d.byKey[key]; taken && other != account {
				return &InvalidError{"account " + account.Name, "give it a key of its own: account " + other.Name + " has the same one"}
			}
			d.byKey[key] = account
		}
	}
	return nil
}

func (d *Document) indexRoute(r *Route) error {
	where := "route " + r.Name
	if r.Timeout <= 0 {
		return &InvalidError{where, "give a timeout above 0"}
	}
	weight := 0
	for _, s := range r.Services {
		if _, known := d.Services[s.Service]; !known {
			return &InvalidError{where, fmt.Sprintf("define service %q or name another one", s.Service)}
		}
		if s.Weight < 0 {
			return &InvalidError{where, "give weights from 0 up"}
		}
		weight += s.Weight
	}
	if weight == 0 {
		return &InvalidError{where, "give at least one service a weight above 0"}
	}
	tree := d.hosts[r.Host]
	if tree == nil {
		tree = &pathTree{}
		d.hosts[r.Host] = tree
	}
	if !tree.add(r) {
		return &InvalidError{where, fmt.Sprintf("choose another prefix: host %s has a route at %s", r.Host, r.PathPrefix)}
	}
	return nil
}

// Route returns the route of the host with the longest prefix of the path; nil
// when there is none.
func (d *Document) Route(host, path string) *Route {
	tree := d.hosts[host]
	if tree == nil {
		return nil
	}
	return tree.longestPrefix(path)
}

// Account returns the client account that holds a key; nil when there is none.
func (d *Document) Account(key string) *Account { return d.byKey[key] }

// Service returns the destination for a request, chosen by weight. fraction is a random
// number that is uniform in [0, 1).
func (r *Route) Service(fraction float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := int(fraction * float64(total))
	for _, s := range r.Services {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Model returns a model of the engine by its name; nil when there is none.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// VersionOrZero returns the version; 0 for no document.
func (d *Document) VersionOrZero() uint64 {
	if d == nil {
		return 0
	}
	return d.Version
}
