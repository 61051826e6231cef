// Package api defines the types that operators, upstreams and nodes exchange:
// configuration objects, announcements and orders. It contains no scheduling or
// placement logic.
package api

import (
	"encoding/json"
	"time"
)

// Kind is the type of a configuration object.
type Kind string

// The kinds of configuration objects.
const (
	KindGroup   Kind = "group"
	KindAccount Kind = "account"
	KindLimit   Kind = "limit"
	KindRoute   Kind = "route"
	KindLabels  Kind = "labels"
)

// Kinds lists all kinds in the order in which the command line shows them.
var Kinds = []Kind{KindGroup, KindAccount, KindLimit, KindRoute, KindLabels}

// Object is one configuration object with its revision.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Revision is the configuration revision at which the object last changed.
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}

// GroupSpec requests serving groups that are formed from the upstreams matching a selector.
type GroupSpec struct {
	// Service is the model or plain service that the groups serve.
	Service string `json:"service"`
	// Selector matches upstreams by their labels.
	Selector string `json:"selector"`
	// VMs is the number of VMs in each group.
	VMs int `json:"vms"`
	// Count is the desired number of groups in each failure domain; 0 means as many as fit.
	Count int `json:"count,omitempty"`
	// Labels are matched by the group selectors of routes.
	Labels map[string]string `json:"labels,omitempty"`
}

// AccountSpec describes one client account.
type AccountSpec struct {
	// TokenSHA256 lists the hexadecimal SHA-256 digests of the account's bearer tokens.
	TokenSHA256 []string `json:"token_sha256"`
	// Weight is the account's relative share of contended capacity; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// Worth is the priority of the account's requests at overload; higher is served first.
	Worth int `json:"worth,omitempty"`
	// Labels are matched by the request selectors of routes.
	Labels map[string]string `json:"labels,omitempty"`
}

// LimitSpec limits the usage of one client account across the whole system.
type LimitSpec struct {
	Account string `json:"account"`
	// RequestsPerSecond is the sustained rate; 0 means unlimited.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is the number of requests admitted at once; 0 means those of one second at the
	// sustained rate.
	Burst int `json:"burst,omitempty"`
	// Concurrency is the maximum number of requests in flight; 0 means unlimited.
	Concurrency int `json:"concurrency,omitempty"`
}

// RouteSpec defines which requests may be sent to which groups.
type RouteSpec struct {
	// Path is the path prefix that the route matches; empty matches every path.
	Path string `json:"path,omitempty"`
	// Requests selects requests by account, class, model and the account's labels.
	Requests string `json:"requests,omitempty"`
	// Groups selects groups by their labels.
	Groups string `json:"groups,omitempty"`
	// NonIdempotent marks requests that must not run twice; they need an Idempotency-Key.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Class is the request class used in metrics and scheduling.
	Class string `json:"class,omitempty"`
	// Worth is added to the account's worth.
	Worth int `json:"worth,omitempty"`
	// DeadlineMillis is the request deadline in milliseconds; 0 means the node's default.
	DeadlineMillis int `json:"deadline_ms,omitempty"`
}

// LabelsSpec attaches labels to the upstream or VM whose name the object has.
type LabelsSpec struct {
	Labels map[string]string `json:"labels"`
	// Leaving drains the upstream: it is taken out of service once its requests are finished.
	Leaving bool `json:"leaving,omitempty"`
}

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// The kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Load is the load that an upstream reports; it may be stale.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of requests that the upstream can run concurrently.
	Slots int `json:"slots"`
	// KVUsed is the used fraction of the KV cache, from 0 to 1.
	KVUsed float64 `json:"kv_used"`
}

// Announcement is the status report that an upstream sends every AnnounceInterval.
type Announcement struct {
	ID            string            `json:"id"`
	Address       string            `json:"address"`
	FailureDomain string            `json:"failure_domain"`
	FabricDomain  string            `json:"fabric_domain"`
	Kind          UpstreamKind      `json:"kind"`
	Service       string            `json:"service"`
	Labels        map[string]string `json:"labels,omitempty"`
	Accelerators  int               `json:"accelerators"`
	Load          Load              `json:"load"`
	// Incarnation increases each time the upstream starts.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Group and Generation echo the upstream's current order.
	Group      string `json:"group,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	// Rank and Size echo the upstream's rank in that order and the number of members.
	Rank int `json:"rank,omitempty"`
	Size int `json:"size,omitempty"`
	// Prepared is true once the engine has loaded the weights that an order with Prepare requested.
	Prepared bool `json:"prepared,omitempty"`
	// Fence is the highest fencing number that the upstream has seen.
	Fence          uint64 `json:"fence,omitempty"`
	Leaving        bool   `json:"leaving,omitempty"`
	HonoursFencing bool   `json:"honours_fencing,omitempty"`
}

// Order assigns an engine to a group, or to none.
type Order struct {
	// Fence is the coordinator's fencing number; engines that honour it refuse lower ones.
	Fence uint64 `json:"fence"`
	// Group is the group to serve in; empty means none.
	Group string `json:"group"`
	// Generation identifies this membership of the group.
	Generation uint64   `json:"generation"`
	Members    []string `json:"members"`
	Rank       int      `json:"rank"`
	Service    string   `json:"service"`
	// Prepare makes an engine without a group load the service's weights.
	Prepare bool `json:"prepare,omitempty"`
}

// AnnounceInterval is the interval between announcements of an upstream.
const AnnounceInterval = 500 * time.Millisecond
