package routing

import "time"

// noGroupRetryAfter is the retry-after time while no whole group serves a route.
const noGroupRetryAfter = 2 * time.Second
