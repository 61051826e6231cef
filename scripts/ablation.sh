#!/usr/bin/env bash
# Runs a command in a copy of this tree whose build disables mechanisms.
#
#   scripts/ablation.sh MECHANISM[,MECHANISM...] COMMAND [ARGUMENT ...]
#
# pkg/mechanism lists the mechanisms; "" disables none. The command must build from
# deploy/system.toml. Its new journal entries are copied back to this tree.
set -euo pipefail
cd "$(dirname "$0")/.."
without=$1
shift
tree=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy" --
cd "$copy"
sed -i "s/-linkmode=external/'-linkmode=external -X main.without=$without'/" deploy/system.toml
git init -q . && git add -A && git -c user.name=ablation -c user.email=ablation@localhost commit -qm "without $without"
"$@"
cp -rn journal/. "$tree/journal/"
