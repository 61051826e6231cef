package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/api"
)

// printResult prints a value as JSON or as a table; it returns err unchanged if that is not nil.
func printResult[T any](s *session, value T, err error, table func(io.Writer, T)) error {
	if err != nil {
		return err
	}
	if !s.json {
		table(s.out, value)
		return nil
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// newTable returns a writer that aligns columns. The caller must flush it.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

func printAccepted(out io.Writer, a admin.Accepted) {
	fmt.Fprintf(out, "accepted change=%s revision=%d object_revision=%d repeated=%t in_force=%t\n",
		a.ChangeID, a.Revision, a.ObjectRevision, a.Repeated, a.InForce)
}

func printAllAccepted(out io.Writer, all []admin.Accepted) {
	for _, a := range all {
		printAccepted(out, a)
	}
	fmt.Fprintf(out, "changed=%d\n", len(all))
}

func printObjects(out io.Writer, objects []api.Object) {
	w := newTable(out)
	fmt.Fprintln(w, "KIND\tNAME\tREVISION\tSPEC")
	for _, o := range objects {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", o.Kind, o.Name, o.Revision, o.Spec)
	}
	_ = w.Flush()
}

func printStatus(out io.Writer, s admin.Status) {
	fmt.Fprintf(out, "node=%s failure_domain=%s ready=%t revision=%d upstreams=%d\n", s.Node, s.FailureDomain, s.Ready, s.Revision, s.Upstreams)
	w := newTable(out)
	fmt.Fprintln(w, "GROUP\tSERVICE\tDOMAIN\tGENERATION\tMEMBERS\tWHOLE\tLEAVING")
	for _, g := range s.Groups {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%t\t%t\n",
			g.Name, g.Service, g.FailureDomain, g.Generation, len(g.Members), g.Whole, g.Leaving)
	}
	_ = w.Flush()
}

func printInForce(out io.Writer, f admin.InForce) {
	fmt.Fprintf(out, "everywhere=%d\n", f.Everywhere)
	w := newTable(out)
	fmt.Fprintln(w, "NODE\tDOMAIN\tREVISION\tREACHABLE")
	for _, n := range f.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%t\n", n.Node, n.FailureDomain, n.Revision, n.Reachable)
	}
	_ = w.Flush()
}

func printToken(out io.Writer, t newToken) {
	fmt.Fprintf(out, "token=%s\nsha256=%s\n", t.Token, t.SHA256)
}
