#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Run it in the repository after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand-3 ./review/stand3
