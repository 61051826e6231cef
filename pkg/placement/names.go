package placement

import (
	"fmt"
	"strings"
)

// GroupName returns the name of a group: its failure domain, its specification, the
// generation at which it was formed and the incarnation of the coordinator that formed it.
func GroupName(failureDomain, spec string, generation uint64, incarnation string) string {
	return fmt.Sprintf("%s/%s/%d-%s", failureDomain, spec, generation, incarnation)
}

// SpecOf returns the specification in a group's name, or "" if the name has none.
func SpecOf(group string) string {
	parts := strings.Split(group, "/")
	if len(parts) < 3 {
		return ""
	}
	return parts[len(parts)-2]
}
