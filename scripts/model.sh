#!/usr/bin/env bash
# Checks every specification in spec/, and that the checker detects each injected
# fault. A specification lists its injected faults on lines "/* broken: NAME */".
set -euo pipefail
cd "$(dirname "$0")/../spec"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify SPEC [FAULT]: returns 0 if the checker found no error, 1 if it found one.
verify() {
  local spec=$1 fault=${2:-} dir
  dir="$work/$(basename "$spec" .pml)-${fault:-correct}"
  mkdir -p "$dir"
  cp "$spec" "$dir/spec.pml"
  (
    cd "$dir"
    spin ${fault:+-D"$fault"} -a spec.pml >spin.log
    gcc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -DMEMLIM=6000 -o pan pan.c 2>gcc.log
    ./pan -m2000000 -w24 >pan.log 2>&1 || true
  )
  if grep -q 'max search depth too small\|out of memory\|pan: reached -DMEMLIM' "$dir/pan.log"; then
    echo "search of $spec ${fault} was not complete" >&2
    tail -30 "$dir/pan.log" >&2
    exit 2
  fi
  if ! grep -q 'errors: ' "$dir/pan.log"; then
    echo "$spec ${fault} could not be checked" >&2
    cat "$dir/spin.log" "$dir/gcc.log" >&2
    exit 2
  fi
  grep -q 'errors: 0' "$dir/pan.log"
}

status=0
shopt -s nullglob
for spec in *.pml; do
  if verify "$spec"; then
    echo "model $spec: holds ($(grep -h 'states, stored' "$work/$(basename "$spec" .pml)-correct/pan.log" | xargs))"
  else
    echo "model $spec: VIOLATED"
    status=1
  fi
  for fault in $(sed -n 's,^/\* broken: \([A-Z_]*\) \*/.*,\1,p' "$spec"); do
    if verify "$spec" "$fault"; then
      echo "model $spec with $fault: NOT CAUGHT"
      status=1
    else
      echo "model $spec with $fault: caught"
    fi
  done
done
exit $status
