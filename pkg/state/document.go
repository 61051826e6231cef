package state

import "github.com/masticmount/masticmount/pkg/peerpb"

// applyDocument puts a document in force if its version is the highest so far.
// An overtaken or resent version is no fault: its sender learns which is in force.
func (m *Machine) applyDocument(c *peerpb.DocumentChange) *peerpb.Result {
	if c.GetVersion() > m.document.GetVersion() {
		m.document = c
	}
	return &peerpb.Result{Revision: m.config.Revision, DocumentVersion: m.document.GetVersion()}
}

// Document returns the configuration document in force; nil before the first.
func (m *Machine) Document() *peerpb.DocumentChange { return m.document }
