package document

import "strings"

// pathTree finds the longest prefix of a path, one segment at a time.
type pathTree struct {
	route    *Route
	children map[string]*pathTree
}

// add places a route; false when its prefix is taken.
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

// longest returns the route with the longest prefix that begins the path. A
// prefix ends with a slash, so its last segment counts only when one follows it.
func (t *pathTree) longest(path string) *Route {
	rest, rooted := strings.CutPrefix(path, "/")
	if !rooted {
		return nil
	}
	node, best := t, t.route
	for {
		segment, after, more := strings.Cut(rest, "/")
		if !more {
			return best
		}
		if node = node.children[segment]; node == nil {
			return best
		}
		if node.route != nil {
			best = node.route
		}
		rest = after
	}
}
