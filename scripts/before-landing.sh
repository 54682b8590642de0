#!/usr/bin/env bash
# Runs the checks that are due before a landing and prints a table of their results.
#
#   scripts/before-landing.sh PLAYER STATE_DIR SITE.toml...
#
# PLAYER is the users' program that plays days of an installation (docs/developers.md). For each
# installation the script runs its "score", on the standard days, and its "hunt", with 40 days on
# small installations and 8 on those with 60 VMs or more. A hunt plays deploy/days as well.
# STATE_DIR keeps the output of each step for this commit, so that an interrupted run can be
# continued. JOBS is the number of days played at a time: 2 by default, as each day of a large
# fleet takes 3.4 GB. Exits 1 unless all results are green.
set -euo pipefail
if [ $# -lt 3 ]; then
  sed -n '2,11s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
player=$1 state=$2
shift 2
if [ -n "$(git status --porcelain -- ':!journal')" ]; then
  echo "commit first: the figures have to belong to a commit" >&2
  exit 2
fi
commit=$(git rev-parse --short HEAD)
jobs=${JOBS:-2}
mkdir -p "$state"

# vms_of prints the number of VMs with which an installation starts.
vms_of() {
  awk '/^machines = \[$/,/^\]/' "$1" | grep -o 'count = [0-9]*' | awk '{n += $3} END {print n + 0}'
}

# finished succeeds if a step's output is complete, that is, once it has a verdict. The name of the
# snapshot is not enough: a player that is stopped prints it too, and its days counted as green.
finished() { grep -qE '^score on |^[0-9]+ days on ' "$1" 2>/dev/null; }

# step runs the player once, unless there is complete output of it for this commit.
step() {
  local out=$1
  shift
  finished "$out" || "$player" "$@" --jobs "$jobs" --why "before a landing, $commit" >"$out" 2>&1 || true
}

red=0
# row prints one line of the table, and sets red unless the verdict is green.
row() {
  local name=$1 verb=$2 out=$3 verdict=green detail
  detail=$(grep -hE '^score on|days on|GATE' "$out" | tr '\n' ' ' || true)
  if ! finished "$out"; then
    verdict=partial
  elif grep -qE 'BROKEN|GATE failed' "$out"; then
    verdict=RED
  fi
  [ "$verdict" = green ] || red=1
  printf '%-28s %-6s %-8s %s\n' "$name" "$verb" "$verdict" "$detail"
}

table=$state/$commit.table
: >"$table"
for site in "$@"; do
  name=$(basename "$site" .toml)
  days=40
  [ "$(vms_of "$site")" -lt 60 ] || days=8
  step "$state/$commit-$name-score.log" score "$site"
  step "$state/$commit-$name-hunt.log" hunt "$site" --days "$days"
  row "$name" score "$state/$commit-$name-score.log" >>"$table"
  row "$name" hunt "$state/$commit-$name-hunt.log" >>"$table"
done
cat "$table"
exit "$red"
