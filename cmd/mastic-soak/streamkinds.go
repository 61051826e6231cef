package main

// streamKind is a kind of stream that callers request.
type streamKind struct {
	name, path, service string
	// model is the model requested from a group; empty for a stream of a single engine.
	model string
	// step is the difference between consecutive event IDs.
	step int
	// once is true if a request must run at most once and the stream is not resumable.
	once bool
}

// The models of the groups: groups of two engines and of a single one.
const (
	pairModel   = "pair"
	singleModel = "single"
)

var (
	plainStream  = &streamKind{name: "stream", path: "/stream/", service: engineService, step: 1}
	onceStream   = &streamKind{name: "tale", path: "/tale/", service: engineService, step: 1, once: true}
	pairStream   = &streamKind{name: "generate", path: "/generate/", service: groupService, model: pairModel, step: 5}
	singleStream = &streamKind{name: "generate", path: "/generate/", service: groupService, model: singleModel, step: 5}
)

// streamKinds returns the kinds in the order in which callers request them.
func streamKinds(grouped bool) []*streamKind {
	if !grouped {
		return []*streamKind{plainStream, plainStream, onceStream}
	}
	return []*streamKind{plainStream, pairStream, onceStream, singleStream, plainStream, pairStream}
}

// groupKinds returns the kinds that groups serve.
func groupKinds() []*streamKind { return []*streamKind{pairStream, singleStream} }

// kindOf returns the stream kind of a path, regardless of the model.
func kindOf(path string) *streamKind {
	for _, k := range []*streamKind{plainStream, onceStream, pairStream} {
		if len(path) > len(k.path) && path[:len(k.path)] == k.path {
			return k
		}
	}
	return nil
}
