#!/usr/bin/env bash
# Builds the stand-ins that review/6 to review/10 start. Run it in the repository after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand-2 ./review/stand2
