package state

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Group is a group specification with its compiled selector.
type Group struct {
	Name     string
	Spec     api.GroupSpec
	Selector labels.Selector
}

// Route is a route specification with its compiled selectors.
type Route struct {
	Name     string
	Spec     api.RouteSpec
	Requests labels.Selector
	Groups   labels.Selector
}

// Config is one decoded revision of the configuration. It is immutable; With
// returns the next revision, which shares the unchanged containers.
type Config struct {
	Revision uint64
	// Objects are sorted by kind and name.
	Objects []api.Object
	// Groups are sorted by name.
	Groups []Group
	// Routes are sorted by name; a request takes the first one that matches it.
	Routes   []Route
	Accounts map[string]api.AccountSpec
	// AccountByToken maps the hexadecimal SHA-256 of a token to an account name.
	AccountByToken map[string]string
	// Limits maps a client account to its limit.
	Limits map[string]api.LimitSpec
	// LimitNames maps a client account to the name of its limit.
	LimitNames map[string]string
	// Labels maps the name of an upstream or VM to its labels.
	Labels map[string]api.LabelsSpec
}

// Compile decodes and validates objects into a Config.
func Compile(revision uint64, objects []*peerpb.ConfigObject) (*Config, error) {
	return EmptyConfig().With(&peerpb.WatchEvent{Revision: revision, Objects: objects})
}

// EmptyConfig returns the configuration at revision 0, without objects.
func EmptyConfig() *Config {
	return &Config{
		Accounts:       map[string]api.AccountSpec{},
		AccountByToken: map[string]string{},
		Limits:         map[string]api.LimitSpec{},
		LimitNames:     map[string]string{},
		Labels:         map[string]api.LabelsSpec{},
	}
}

// With returns the configuration after an event. It copies only the containers
// of the kinds that the event changes and does not modify c.
func (c *Config) With(event *peerpb.WatchEvent) (*Config, error) {
	builder := newConfigBuilder(c, event)
	for _, o := range builder.objects {
		if previous, ok := builder.config.object(o.Kind, o.Name); ok {
			builder.config.removeObject(previous)
		}
	}
	for _, key := range builder.deleted {
		if previous, ok := builder.config.object(key.kind, key.name); ok {
			builder.config.removeObject(previous)
		}
	}
	for _, o := range builder.objects {
		if err := builder.config.addObject(o); err != nil {
			return nil, fmt.Errorf("%s/%s: %w", o.Kind, o.Name, err)
		}
	}
	builder.config.Objects = builder.mergeObjects(c.Objects)
	builder.config.sortTouched(builder.touched)
	return builder.config, nil
}

// configBuilder builds the Config that results from a watch event.
type configBuilder struct {
	config  *Config
	objects []api.Object
	deleted []objectKey
	touched map[api.Kind]bool
}

func newConfigBuilder(c *Config, event *peerpb.WatchEvent) *configBuilder {
	next := *c
	b := &configBuilder{config: &next, touched: map[api.Kind]bool{}}
	next.Revision = event.GetRevision()
	for _, o := range event.GetObjects() {
		b.touched[api.Kind(o.GetKind())] = true
		b.objects = append(b.objects, api.Object{
			Kind: api.Kind(o.GetKind()), Name: o.GetName(), Revision: o.GetRevision(), Spec: o.GetSpec(),
		})
	}
	for _, key := range event.GetDeleted() {
		kind, name, _ := strings.Cut(key, "/")
		b.touched[api.Kind(kind)] = true
		b.deleted = append(b.deleted, objectKey{api.Kind(kind), name})
	}
	slices.SortFunc(b.objects, compareObjects)
	b.cloneTouched()
	return b
}

// cloneTouched copies the containers that the event changes, so that readers of
// the previous revision are not affected.
func (b *configBuilder) cloneTouched() {
	c := b.config
	if b.touched[api.KindGroup] {
		c.Groups = slices.Clone(c.Groups)
	}
	if b.touched[api.KindRoute] {
		c.Routes = slices.Clone(c.Routes)
	}
	if b.touched[api.KindAccount] {
		c.Accounts = maps.Clone(c.Accounts)
		c.AccountByToken = maps.Clone(c.AccountByToken)
	}
	if b.touched[api.KindLimit] {
		c.Limits = maps.Clone(c.Limits)
		c.LimitNames = maps.Clone(c.LimitNames)
	}
	if b.touched[api.KindLabels] {
		c.Labels = maps.Clone(c.Labels)
	}
}

// mergeObjects merges the changed objects into the sorted list of the previous
// revision and leaves out the replaced and deleted ones.
func (b *configBuilder) mergeObjects(previous []api.Object) []api.Object {
	replaced := make(map[objectKey]bool, len(b.deleted)+len(b.objects))
	for _, key := range b.deleted {
		replaced[key] = true
	}
	for _, o := range b.objects {
		replaced[objectKey{o.Kind, o.Name}] = true
	}
	merged := make([]api.Object, 0, len(previous)+len(b.objects))
	added := b.objects
	for _, o := range previous {
		for len(added) > 0 && compareObjects(added[0], o) <= 0 {
			merged, added = append(merged, added[0]), added[1:]
		}
		if !replaced[objectKey{o.Kind, o.Name}] {
			merged = append(merged, o)
		}
	}
	return append(merged, added...)
}

func compareObjects(a, b api.Object) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func (c *Config) object(kind api.Kind, name string) (api.Object, bool) {
	i, ok := slices.BinarySearchFunc(c.Objects, api.Object{Kind: kind, Name: name}, compareObjects)
	if !ok {
		return api.Object{}, false
	}
	return c.Objects[i], true
}

// Object returns the object of a kind and name, and false if there is none.
func (c *Config) Object(kind api.Kind, name string) (api.Object, bool) { return c.object(kind, name) }

// removeObject removes an object's entries from the containers. It does not change
// Objects.
func (c *Config) removeObject(o api.Object) {
	switch o.Kind {
	case api.KindGroup:
		c.Groups = slices.DeleteFunc(c.Groups, func(g Group) bool { return g.Name == o.Name })
	case api.KindRoute:
		c.Routes = slices.DeleteFunc(c.Routes, func(r Route) bool { return r.Name == o.Name })
	case api.KindAccount:
		for _, digest := range c.Accounts[o.Name].TokenSHA256 {
			delete(c.AccountByToken, digest)
		}
		delete(c.Accounts, o.Name)
	case api.KindLimit:
		c.removeLimit(o.Name)
	case api.KindLabels:
		delete(c.Labels, o.Name)
	}
}

func (c *Config) removeLimit(name string) {
	for account, limit := range c.LimitNames {
		if limit == name {
			delete(c.Limits, account)
			delete(c.LimitNames, account)
			return
		}
	}
}

func (c *Config) addObject(o api.Object) error {
	switch o.Kind {
	case api.KindGroup:
		return c.addGroup(o.Name, o.Spec)
	case api.KindRoute:
		return c.addRoute(o.Name, o.Spec)
	case api.KindAccount:
		return c.addAccount(o.Name, o.Spec)
	case api.KindLimit:
		return c.addLimit(o.Name, o.Spec)
	case api.KindLabels:
		return c.addLabels(o.Name, o.Spec)
	default:
		return fmt.Errorf("unknown kind %q; use one of %v", o.Kind, api.Kinds)
	}
}

func (c *Config) addGroup(name string, raw []byte) error {
	g := Group{Name: name}
	if err := decode(raw, &g.Spec); err != nil {
		return err
	}
	var err error
	if g.Selector, err = labels.Parse(g.Spec.Selector); err != nil {
		return fmt.Errorf("selector: %w", err)
	}
	if g.Spec.VMs < 1 {
		return fmt.Errorf("vms = %d: a group needs at least 1 VM", g.Spec.VMs)
	}
	if g.Spec.Count < 0 {
		return fmt.Errorf("count = %d: use 0 for as many as fit, or more", g.Spec.Count)
	}
	c.Groups = append(c.Groups, g)
	return nil
}

func (c *Config) addRoute(name string, raw []byte) error {
	r := Route{Name: name}
	if err := decode(raw, &r.Spec); err != nil {
		return err
	}
	var err error
	if r.Requests, err = labels.Parse(r.Spec.Requests); err != nil {
		return fmt.Errorf("requests: %w", err)
	}
	if r.Groups, err = labels.Parse(r.Spec.Groups); err != nil {
		return fmt.Errorf("groups: %w", err)
	}
	if maxMillis := maxDeadline.Milliseconds(); r.Spec.DeadlineMillis < 0 || int64(r.Spec.DeadlineMillis) > maxMillis {
		return fmt.Errorf("deadline_ms = %d: use 0 for the default, up to %d", r.Spec.DeadlineMillis, maxMillis)
	}
	c.Routes = append(c.Routes, r)
	return nil
}

func (c *Config) addAccount(name string, raw []byte) error {
	var spec api.AccountSpec
	if err := decode(raw, &spec); err != nil {
		return err
	}
	if spec.Weight < 0 {
		return fmt.Errorf("weight = %d: use 0 for 1, or more", spec.Weight)
	}
	for _, digest := range spec.TokenSHA256 {
		if !isSHA256(digest) {
			return fmt.Errorf("token_sha256 %q: give the lower-case hexadecimal SHA-256 of the token", digest)
		}
		if other, taken := c.AccountByToken[digest]; taken {
			return fmt.Errorf("token is already that of account %q; issue a new one", other)
		}
		c.AccountByToken[digest] = name
	}
	c.Accounts[name] = spec
	return nil
}

func (c *Config) addLimit(name string, raw []byte) error {
	var spec api.LimitSpec
	if err := decode(raw, &spec); err != nil {
		return err
	}
	if spec.RequestsPerSecond < 0 || spec.RequestsPerSecond > maxRequestsPerSecond {
		return fmt.Errorf("requests_per_second = %g: use 0 for no bound, up to %g", spec.RequestsPerSecond, maxRequestsPerSecond)
	}
	if spec.Burst < 0 || spec.Concurrency < 0 {
		return fmt.Errorf("burst = %d, concurrency = %d: use 0 or more", spec.Burst, spec.Concurrency)
	}
	if other, taken := c.LimitNames[spec.Account]; taken {
		return fmt.Errorf("account %q has the limit %q already; change that one", spec.Account, other)
	}
	c.Limits[spec.Account] = spec
	c.LimitNames[spec.Account] = name
	return nil
}

func (c *Config) addLabels(name string, raw []byte) error {
	var spec api.LabelsSpec
	if err := decode(raw, &spec); err != nil {
		return err
	}
	c.Labels[name] = spec
	return nil
}

// sortTouched sorts the slices of the changed kinds, to which addObject appended.
func (c *Config) sortTouched(touched map[api.Kind]bool) {
	if touched[api.KindGroup] {
		slices.SortFunc(c.Groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	}
	if touched[api.KindRoute] {
		slices.SortFunc(c.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	}
}

func decode(raw []byte, into any) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("spec is not valid: %w", err)
	}
	return nil
}
