package document

import "strings"

// pathTree is a tree of path segments for lookups by the longest prefix.
type pathTree struct {
	route    *Route
	children map[string]*pathTree
}

// add inserts a route. It returns false if its prefix is taken.
func (t *pathTree) add(r *Route) bool {
	node := t
	for segment := range strings.SplitSeq(strings.Trim(r.PathPrefix, "/"), "/") {
		if segment == "" && strings.Trim(r.PathPrefix, "/") == "" {
			break
		}
		child := node.children[segment]
		if child == nil {
			child = &pathTree{}
			if node.children == nil {
				node.children = map[string]*pathTree{}
			}
			node.children[segment] = child
		}
		node = child
	}
	if node.route != nil {
		return false
	}
	node.route = r
	return true
}

// longestPrefix returns the route with the longest matching prefix of the path. A prefix
// ends with a slash, so a segment of the path matches only if a slash follows it.
func (t *pathTree) longestPrefix(path string) *Route {
	remaining, rooted := strings.CutPrefix(path, "/")
	if !rooted {
		return nil
	}
	node, best := t, t.route
	for {
		segment, after, found := strings.Cut(remaining, "/")
		if !found {
			return best
		}
		if node = node.children[segment]; node == nil {
			return best
		}
		if node.route != nil {
			best = node.route
		}
		remaining = after
	}
}
