package attach

import "errors"

var (
	errKeeperSilent = errors.New("no update from the keeper for 1.4 s; trying another keeper")
	errQueueFull    = errors.New("update queue is full; reconnecting for a full update")
)
