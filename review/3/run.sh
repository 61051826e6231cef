#!/usr/bin/env bash
# Exits with 1 if the rule TWO was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# The freeze leaves the leader in office in most rounds, but not in all of them: up to four rounds of 21 s are played.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-stand ] && [ -x ../../target/mastic-platformd ] || exit 2
: > record.txt
for round in 1 2 3 4; do
  [ "$SECONDS" -lt 85 ] || break
  part=$(mktemp) || exit 2
  ../../target/review-stand latejoin ../../target/mastic-platformd "$part"
  result=$?
  { echo "round $round"; cat "$part"; } >> record.txt
  rm -f "$part"
  [ "$result" -eq 0 ] || exit "$result"
done
exit 0
