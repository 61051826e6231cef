#!/usr/bin/env bash
# Measures an idle node with twenty announcing fake engines.
#
#   scripts/bench-idle.sh [FOLDER]
#
# FOLDER is where the record is saved.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
export MASTICMOUNT_TOKEN=operator-idle MASTICMOUNT_ANNOUNCER_TOKEN=announcer-idle
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
base=23200
cat >"$work/node.toml" <<T
[node]
id = "a1"
region = "idle"
failure_domain = "fd"
roles = ["entry", "keeper"]
data_folder = "$work/data"
[listen]
callers = "127.0.0.1:$base"
admin = "127.0.0.1:$((base + 1))"
peers = "127.0.0.1:$((base + 2))"
[tokens]
operators_sha256 = ["$(digest "$MASTICMOUNT_TOKEN")"]
announcers_sha256 = ["$(digest "$MASTICMOUNT_ANNOUNCER_TOKEN")"]
[[peers]]
id = "a1"
failure_domain = "fd"
address = "127.0.0.1:$((base + 2))"
keeper = true
T
bin/masticmountd "$work/node.toml" 2>"$work/node.log" &
node=$!
pids+=("$node")
bin/mastic-fakes --failure-domain fd --engines 20 --per-fabric 20 --desks 0 --base-port $((base + 10)) \
  --entries "127.0.0.1:$((base + 1))" 2>"$work/fakes.log" &
pids+=($!)
cat >"$work/objects.json" <<T
[{"kind": "group", "name": "captions", "spec": {"service": "captioner", "selector": "pool=captions", "vms": 4}}]
T
for _ in $(seq 100); do
  bin/masticmount --server "http://127.0.0.1:$((base + 1))" apply --file "$work/objects.json" >/dev/null 2>&1 && break
  sleep 0.1
done
sleep 5
bin/mastic-bench --watch-idle "$node" ${1:+--save "$1"}
