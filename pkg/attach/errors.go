package attach

import "errors"

var (
	errSilent  = errors.New("the keeper sent no update for 1.4 s; another one is tried")
	errOverrun = errors.New("updates came faster than they were taken; the stream begins anew")
)
