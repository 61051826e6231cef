#!/usr/bin/env bash
# Regenerates the committed protobuf code from proto/.
set -euo pipefail
cd "$(dirname "$0")/.."
PATH="$(go env GOPATH)/bin:$PATH"
protoc -I proto --go_out=. --go_opt=module=github.com/masticmount/masticmount \
  --go-grpc_out=. --go-grpc_opt=module=github.com/masticmount/masticmount proto/*.proto
go run ./internal/settingsdoc
