#!/usr/bin/env bash
# Checks formatting and runs the linter.
set -euo pipefail
cd "$(dirname "$0")/.."
PATH="$(go env GOPATH)/bin:$PATH"
unformatted=$(gofumpt -l $(git ls-files '*.go' | grep -v '\.pb\.go$'))
if [ -n "$unformatted" ]; then
  printf 'not formatted; run make fmt:\n%s\n' "$unformatted"
  exit 1
fi
golangci-lint run --allow-parallel-runners --timeout 10m ./...
