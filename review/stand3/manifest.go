//go:build review

package main

import "encoding/json"

const (
	host     = "stand3.example"
	key      = "key-of-stand3-0"
	readPath = "/read/"
)

// manifest returns a manifest with a route of idempotent requests to a plain service.
func manifest() []byte {
	data, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-read", "host": host, "path_prefix": readPath, "kind": "idempotent", "timeout_ms": 2500, "slo_ms": 150, "priority": 1, "service": "desk",
			"max_attempts": 2, "public": false, "sticky": false, "resumable": false, "target_gap_ms": 0,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_conns": 52, "protocol": "h1", "tls": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "t0", "api_keys": []string{key}, "priority": 1}},
	})
	return data
}
