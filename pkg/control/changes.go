package control

// changes numbers the changes of the directory and the document, so that each subscriber
// is sent only what it lacks.
type changes struct {
	version uint64
	// versions is the version at which each upstream last changed.
	versions map[string]uint64
	// signal is closed and replaced at each change.
	signal chan struct{}
}

func (c *changes) init() {
	c.versions, c.signal = map[string]uint64{}, make(chan struct{})
}

func (c *changes) bump() {
	c.version++
	close(c.signal)
	c.signal = make(chan struct{})
}

func (c *changes) record(id string) {
	c.bump()
	c.versions[id] = c.version
}

// recordRemoval records the removal of an upstream. Its version is kept, so that
// subscribers learn of the removal; a new incarnation of the upstream reuses it.
func (c *changes) recordRemoval(id string) { c.record(id) }
