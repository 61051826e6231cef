package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/fault"
)

type applyCommand struct {
	Kind     api.Kind `arg:"positional" help:"group, account, limit, route or labels"`
	Name     string   `arg:"positional"`
	Spec     string   `arg:"positional" help:"JSON of the spec, or @file"`
	Expect   *uint64  `arg:"--expect" help:"current revision of the object; 0 for a new object; looked up if omitted"`
	ChangeID string   `arg:"--change-id" help:"identifier of the change, which makes retries idempotent"`
	File     string   `arg:"--file" help:"JSON file with a list of objects, each with kind, name and spec"`
}

func (c *applyCommand) run(s *session) error {
	if c.File != "" {
		return applyFile(s, c.File)
	}
	if c.Kind == "" || c.Name == "" || c.Spec == "" {
		return fault.New(fault.InvalidRequest, "give KIND NAME SPEC, or --file", "nothing to apply")
	}
	spec := []byte(c.Spec)
	if file, ok := strings.CutPrefix(c.Spec, "@"); ok {
		var err error
		if spec, err = readFile(file); err != nil {
			return err
		}
	}
	if !json.Valid(spec) {
		return fault.New(fault.InvalidRequest, "give the spec as JSON", "the spec is not valid JSON")
	}
	expected, err := c.expectedRevision(s)
	if err != nil {
		return err
	}
	accepted, err := s.client.Apply(c.Kind, c.Name, admin.Change{ChangeID: c.ChangeID, ExpectedRevision: expected, Spec: spec})
	return printResult(s, accepted, err, printAccepted)
}

func (c *applyCommand) expectedRevision(s *session) (uint64, error) {
	if c.Expect != nil {
		return *c.Expect, nil
	}
	object, err := currentObject(s, c.Kind, c.Name)
	return object.Revision, err
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "give a readable file", "%v", err)
	}
	return data, nil
}

// applyFile applies the objects of a file whose spec differs from the current spec.
func applyFile(s *session, path string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	var objects []api.Object
	if err := json.Unmarshal(data, &objects); err != nil {
		return fault.New(fault.InvalidRequest, "give a JSON list of objects with kind, name and spec", "%s: %v", path, err)
	}
	var all []admin.Accepted
	for _, o := range objects {
		current, err := currentObject(s, o.Kind, o.Name)
		if err != nil {
			return err
		}
		if sameJSON(current.Spec, o.Spec) {
			continue
		}
		accepted, err := s.client.Apply(o.Kind, o.Name, admin.Change{ExpectedRevision: current.Revision, Spec: o.Spec})
		if err != nil {
			return err
		}
		all = append(all, accepted)
	}
	return printResult(s, all, nil, printAllAccepted)
}

// currentObject returns the object, or an empty object at revision 0 if it does not exist.
func currentObject(s *session, kind api.Kind, name string) (api.Object, error) {
	object, err := s.client.Get(kind, name)
	if fault.IsKind(err, fault.NotFound) {
		return api.Object{Kind: kind, Name: name}, nil
	}
	return object, err
}

func sameJSON(a, b []byte) bool {
	var left, right bytes.Buffer
	if json.Compact(&left, a) != nil || json.Compact(&right, b) != nil {
		return false
	}
	return bytes.Equal(left.Bytes(), right.Bytes())
}

type deleteCommand struct {
	Kind     api.Kind `arg:"positional,required"`
	Name     string   `arg:"positional,required"`
	Expect   uint64   `arg:"--expect,required" help:"current revision of the object"`
	ChangeID string   `arg:"--change-id" help:"identifier of the change, which makes retries idempotent"`
}

func (c *deleteCommand) run(s *session) error {
	accepted, err := s.client.Delete(c.Kind, c.Name, admin.Change{ChangeID: c.ChangeID, ExpectedRevision: c.Expect})
	return printResult(s, accepted, err, printAccepted)
}

type labelCommand struct {
	Target string   `arg:"positional,required" help:"upstream or VM"`
	Labels []string `arg:"positional,required" help:"key=value to set, key- to remove"`
}

func (c *labelCommand) run(s *session) error {
	return changeLabels(s, c.Target, func(spec *api.LabelsSpec) error {
		for _, label := range c.Labels {
			if err := setLabel(spec, label); err != nil {
				return err
			}
		}
		return nil
	})
}

func setLabel(spec *api.LabelsSpec, label string) error {
	if key, value, ok := strings.Cut(label, "="); ok {
		spec.Labels[key] = value
		return nil
	}
	if key, ok := strings.CutSuffix(label, "-"); ok {
		delete(spec.Labels, key)
		return nil
	}
	return fault.New(fault.InvalidRequest, "write key=value to set a label, key- to remove it", "%q is not a label change", label)
}

type drainCommand struct {
	Upstream string `arg:"positional,required"`
	Undo     bool   `arg:"--undo" help:"put the upstream back into service"`
}

func (c *drainCommand) run(s *session) error {
	return changeLabels(s, c.Upstream, func(spec *api.LabelsSpec) error {
		spec.Leaving = !c.Undo
		return nil
	})
}

// changeLabels updates the labels of a target with the revision that it read, so that
// a concurrent change by another operator results in a conflict.
func changeLabels(s *session, target string, change func(*api.LabelsSpec) error) error {
	object, err := currentObject(s, api.KindLabels, target)
	if err != nil {
		return err
	}
	spec := api.LabelsSpec{Labels: map[string]string{}}
	if len(object.Spec) > 0 {
		if err := json.Unmarshal(object.Spec, &spec); err != nil {
			return fault.New(fault.Internal, "see the node's log", "labels of %s: %v", target, err)
		}
	}
	if spec.Labels == nil {
		spec.Labels = map[string]string{}
	}
	if err := change(&spec); err != nil {
		return err
	}
	return applySpec(s, api.KindLabels, target, object.Revision, spec)
}

type limitCommand struct {
	Account     string   `arg:"positional,required"`
	Rate        *float64 `arg:"--rate" help:"requests per second; 0 removes the limit"`
	Burst       *int     `arg:"--burst" help:"requests admitted at once"`
	Concurrency *int     `arg:"--concurrency" help:"requests in flight; 0 removes the limit"`
}

func (c *limitCommand) run(s *session) error {
	object, err := currentObject(s, api.KindLimit, c.Account)
	if err != nil {
		return err
	}
	spec := api.LimitSpec{Account: c.Account}
	if len(object.Spec) > 0 {
		if err := json.Unmarshal(object.Spec, &spec); err != nil {
			return fault.New(fault.Internal, "see the node's log", "limit of %s: %v", c.Account, err)
		}
	}
	setIfNotNil(&spec.RequestsPerSecond, c.Rate)
	setIfNotNil(&spec.Burst, c.Burst)
	setIfNotNil(&spec.Concurrency, c.Concurrency)
	return applySpec(s, api.KindLimit, c.Account, object.Revision, spec)
}

func setIfNotNil[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

func applySpec(s *session, kind api.Kind, name string, expected uint64, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return fault.New(fault.InvalidRequest, "correct the values", "%s %s cannot be encoded", kind, name).WithCause(err)
	}
	accepted, err := s.client.Apply(kind, name, admin.Change{ExpectedRevision: expected, Spec: data})
	return printResult(s, accepted, err, printAccepted)
}
