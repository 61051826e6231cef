package state

import "github.com/masticmount/masticmount/pkg/peerpb"

// applyDocument stores a document if its version is higher than the stored one. A
// lower or equal version is not an error: the result has the version in force.
func (m *Machine) applyDocument(c *peerpb.DocumentChange) *peerpb.Result {
	if c.GetVersion() > m.document.GetVersion() {
		m.document = c
	}
	return &peerpb.Result{Revision: m.config.Revision, DocumentVersion: m.document.GetVersion()}
}

// Document returns the configuration document in force, or nil if there is none yet.
func (m *Machine) Document() *peerpb.DocumentChange { return m.document }
