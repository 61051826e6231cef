package control

// changes numbers what subscribers are told, so that each gets what it lacks.
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

func (c *changes) changed(id string) {
	c.bump()
	c.versions[id] = c.version
}

// forgot notes that an upstream is no longer known. Its version stays, so that
// subscribers learn of it; a new run of the upstream takes it over.
func (c *changes) forgot(id string) { c.changed(id) }
