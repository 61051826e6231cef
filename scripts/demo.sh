#!/usr/bin/env bash
# Starts three failure domains of three nodes each on loopback, with sixty fake
# engines and three fake plain services, configures them and runs mastic-demo.
# MASTICMOUNT_DEMO_PORT is the first of the 600 ports in use, 18000 by default.
# With --up it only keeps the configured system running until interrupted.
# With --faults it runs the fault scenario under load instead of the main scenario.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
work=$(mktemp -d)
pids=()
failed=1
cleanup() {
  touch "$work/stopping"
  for pid in "${pids[@]}" $(cat "$work"/*.pid 2>/dev/null); do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$failed" != 0 ]; then
    echo "the logs are kept in $work"
  else
    rm -rf "$work"
  fi
}
trap cleanup EXIT

export MASTICMOUNT_TOKEN=operator-demo MASTICMOUNT_ANNOUNCER_TOKEN=announcer-demo MASTICMOUNT_CALLER_TOKEN=school-demo
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
nodes=(a1 a2 a3 b1 b2 b3 c1 c2 c3)
first_port=${MASTICMOUNT_DEMO_PORT:-18000}
port() { echo $((first_port + $1 * 10)); }

peers() {
  local i id
  for i in "${!nodes[@]}"; do
    id=${nodes[$i]}
    printf '[[peers]]\nid = "%s"\nfailure_domain = "fd-%s"\naddress = "127.0.0.1:%d"\nkeeper = %s\n' \
      "$id" "${id:0:1}" $(($(port "$i") + 2)) "$([ "${id:1}" = 1 ] && echo true || echo false)"
  done
}

node_settings() { # index
  local id=${nodes[$1]} base roles='["entry"]'
  base=$(port "$1")
  [ "${id:1}" = 1 ] && roles='["entry", "keeper"]'
  cat <<T
[node]
id = "$id"
region = "demo"
failure_domain = "fd-${id:0:1}"
roles = $roles
data_folder = "$work/$id"
[listen]
callers = "127.0.0.1:$base"
admin = "127.0.0.1:$((base + 1))"
peers = "127.0.0.1:$((base + 2))"
[tokens]
operators_sha256 = ["$(digest "$MASTICMOUNT_TOKEN")"]
announcers_sha256 = ["$(digest "$MASTICMOUNT_ANNOUNCER_TOKEN")"]
[stop]
balancer_wait = "500ms"
T
  peers
}

# supervise runs a node and restarts it after a kill. It does not restart while the
# file ID.pid.hold exists.
supervise() { # id
  while [ ! -e "$work/stopping" ]; do
    bin/masticmountd "$work/$1.toml" 2>>"$work/$1.log" &
    echo $! >"$work/$1.pid"
    wait $! && break
    sleep 0.5
    while [ -e "$work/$1.pid.hold" ] && [ ! -e "$work/stopping" ]; do sleep 0.1; done
  done
}

if curl -s "http://127.0.0.1:$((first_port + 1))/healthz" >/dev/null; then
  echo "port $((first_port + 1)) is in use, possibly by another demo; set MASTICMOUNT_DEMO_PORT" >&2
  failed=0
  exit 2
fi
callers=() admins=() pid_files=() data_folders=()
for i in "${!nodes[@]}"; do
  id=${nodes[$i]}
  node_settings "$i" >"$work/$id.toml"
  supervise "$id" 2>/dev/null &
  pid_files+=("$work/$id.pid")
  data_folders+=("$work/$id")
  callers+=("127.0.0.1:$(port "$i")")
  admins+=("127.0.0.1:$(($(port "$i") + 1))")
done
desks=() base=$((first_port + 200))
for d in 0 1 2; do
  entries="${admins[$((d * 3))]},${admins[$((d * 3 + 1))]},${admins[$((d * 3 + 2))]}"
  bin/mastic-fakes --failure-domain "fd-$(printf 'abc' | cut -c$((d + 1)))" --engines 20 --per-fabric 10 --desks 1 \
    --base-port "$base" --entries "$entries" 2>"$work/fakes-$d.log" &
  pids+=($!)
  desks+=("127.0.0.1:$((base + 20))")
  base=$((base + 100))
done

m() { bin/masticmount --server "http://${admins[0]}" "$@"; }
for _ in $(seq 100); do
  curl -sf "http://${admins[0]}/readyz" >/dev/null && break
  sleep 0.1
done
cat >"$work/objects.json" <<T
[
  {"kind": "account", "name": "school", "spec": {"token_sha256": ["$(digest "$MASTICMOUNT_CALLER_TOKEN")"], "worth": 1}},
  {"kind": "group", "name": "captions", "spec": {"service": "captioner", "selector": "pool=captions", "vms": 4, "count": 4, "labels": {"use": "captions"}}},
  {"kind": "group", "name": "desk", "spec": {"service": "licence-desk", "selector": "pool=desk", "vms": 1, "labels": {"use": "desk"}}},
  {"kind": "route", "name": "captions", "spec": {"path": "/v1/", "requests": "model=captioner", "groups": "use=captions", "class": "caption"}},
  {"kind": "route", "name": "grants", "spec": {"path": "/grants", "groups": "use=desk", "non_idempotent": true, "class": "grant"}},
  {"kind": "route", "name": "lookups", "spec": {"path": "/lookup", "groups": "use=desk", "class": "lookup"}}
]
T
m apply --file "$work/objects.json"

if [ "${1:-}" = --up ]; then
  echo "callers: ${callers[*]}; administration: ${admins[*]}"
  echo "MASTICMOUNT_TOKEN=$MASTICMOUNT_TOKEN MASTICMOUNT_CALLER_TOKEN=$MASTICMOUNT_CALLER_TOKEN; stop with Ctrl-C"
  failed=0
  trap 'exit 0' INT TERM
  while true; do sleep 1; done
fi
bin/mastic-demo --callers "${callers[@]}" --admins "${admins[@]}" --desks "${desks[@]}" --pid-files "${pid_files[@]}" \
  --data-folders "${data_folders[@]}" "$@"
failed=0
