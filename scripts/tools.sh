#!/usr/bin/env bash
# Installs the pinned development tools that are missing.
set -euo pipefail
bin="$(go env GOPATH)/bin"
install_tool() { # command version package
  if ! go version -m "$bin/$1" 2>/dev/null | grep -P "^\tmod\t\S+\t\Q$2\E(\t|$)" >/dev/null; then
    echo "installing $1 $2"
    (cd / && go install "$3@$2")
  fi
}
install_tool golangci-lint v2.15.0 github.com/golangci/golangci-lint/v2/cmd/golangci-lint
install_tool gofumpt v0.12.0 mvdan.cc/gofumpt
install_tool gopls v0.23.0 golang.org/x/tools/gopls
install_tool protoc-gen-go v1.36.10 google.golang.org/protobuf/cmd/protoc-gen-go
install_tool protoc-gen-go-grpc v1.5.1 google.golang.org/grpc/cmd/protoc-gen-go-grpc
if ! command -v spin >/dev/null || ! command -v protoc >/dev/null || ! command -v gcc >/dev/null; then
  apt-get update -qq
  apt-get install -y -qq spin protobuf-compiler gcc libc6-dev
fi
