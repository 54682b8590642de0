#!/usr/bin/env bash
# Tries the system as separate processes on loopback: stand-ins, two routers, the
# entities, one draft, one confirmation, and an orderly stop. Run from the root.
set -euo pipefail
bin=$(mktemp -d)
go build -o "$bin/geraniumcroft" ./cmd/geraniumcroft
gc="$bin/geraniumcroft"
pids=()
cleanup() { kill -TERM "${pids[@]}" 2>/dev/null || true; wait || true; rm -rf "$bin"; }
trap cleanup EXIT

"$gc" standin -file examples/local/standin.ini > "$bin/standin.log" 2>&1 & pids+=($!)
for n in 1 2; do
  "$gc" serve -settings "examples/local/entry-$n.ini" 2> "$bin/entry-$n.log" & pids+=($!)
done
for port in 17010 17020; do
  curl -fsS --retry 50 --retry-delay 1 --retry-all-errors "http://127.0.0.1:$port/readyz" > /dev/null
done

admin=(-admin http://127.0.0.1:17011 -token-file examples/local/operator.token)
for file in examples/local/entities/*.json; do
  name=$(basename "$file" .json)
  kind=$(echo "$name" | cut -d- -f2)
  "$gc" "$kind" "${admin[@]}" -f "$file" set "$(echo "$name" | cut -d- -f3-)"
done
"$gc" target "${admin[@]}" list
"$gc" vm "${admin[@]}" list

curl -fsSN http://127.0.0.1:17020/v1/chat/completions -H 'Content-Type: application/json' \
  -d '{"model":"summary","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"bay 7"}]}'
curl -fsSi http://127.0.0.1:17010/v1/profiles/lockout/calls -H 'Content-Type: application/json' -d '{"bay":7}'
echo
echo "stopping"
