#!/usr/bin/env bash
# Fails routers that run as processes of their own and checks what callers and
# operators see: a stop with a draft in hand, a freeze of 15 s during which
# operators change the configuration, and a kill. Run from the root; about 40 s.
set -euo pipefail
bin=$(mktemp -d)
go build -o "$bin/geraniumcroft" ./cmd/geraniumcroft
gc="$bin/geraniumcroft"
pids=()
cleanup() { kill -CONT "${pids[@]}" 2>/dev/null || true; kill -TERM "${pids[@]}" 2>/dev/null || true; wait || true; rm -rf "$bin"; }
trap cleanup EXIT

fail() { echo "WRONG: $1" >&2; exit 1; }
serve() { "$gc" serve -settings "examples/local/entry-$1.ini" 2>> "$bin/entry-$1.log" & pids+=($!); }
await() { curl -fsS --retry 50 --retry-delay 1 --retry-all-errors "http://127.0.0.1:$1/readyz" > /dev/null 2>&1; }
call() { curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$1/v1/profiles/$2/calls" -d '{}'; }
admin=(-admin http://127.0.0.1:17021 -token-file examples/local/operator.token)
set_workspace() { "$gc" workspace "${admin[@]}" -wait "$2" -f - set "$1" <<< "{\"name\":\"$1\"}" 2>&1 || true; }
draft() {
  curl -sSN --max-time 60 "http://127.0.0.1:$1/v1/chat/completions" -H 'Content-Type: application/json' \
    -d "{\"model\":\"summary\",\"stream\":true,\"max_tokens\":$2,\"messages\":[{\"role\":\"user\",\"content\":\"bay 7\"}]}"
}
whole() { grep -q "\"outcome\":\"complete\",\"tokens\":$2" "$1"; }

"$gc" standin -file examples/local/standin.ini > "$bin/standin.log" 2>&1 & pids+=($!)
serve 1; first=${pids[-1]}
serve 2
await 17010; await 17020
for file in examples/local/entities/*.json; do
  name=$(basename "$file" .json)
  "$gc" "$(echo "$name" | cut -d- -f2)" "${admin[@]}" -f "$file" set "$(echo "$name" | cut -d- -f3-)" > /dev/null
done

echo "1. SIGTERM with a draft of 1,200 tokens in hand"
draft 17010 1200 > "$bin/draft" & drafting=$!
sleep 0.5
kill -TERM "$first"
wait "$drafting" || fail "the draft was cut off"
whole "$bin/draft" 1200 || fail "the draft is not whole"
wait "$first" || fail "the stopped router did not exit with 0"

echo "2. a router frozen for 15 s while operators change the configuration"
serve 1; first=${pids[-1]}
await 17010
kill -STOP "$first"
[[ $(set_workspace w9 3s) == *pending*entry-1* ]] || fail "a change was accepted although a VM that may serve lacks it"
sleep 12
[[ $(set_workspace w10 10s) == *accepted* ]] || fail "a change still waits for a VM that is dead by evidence"
sed 's/"lockout"/"late"/' examples/local/entities/4-profile-lockout.json | "$gc" profile "${admin[@]}" -f - set late > /dev/null
kill -CONT "$first"
[ "$(call 17010 late)" != 404 ] || fail "the router that woke served what was in force before its freeze"
await 17010
[ "$(call 17010 late)" = 200 ] || fail "the router that caught up does not serve the new profile"

echo "3. the other router killed by SIGKILL while a draft runs"
draft 17020 600 > "$bin/draft" & drafting=$!
sleep 0.3
kill -KILL "$first"; wait "$first" 2>/dev/null || true
wait "$drafting" || fail "the draft was cut off"
whole "$bin/draft" 600 || fail "the draft is not whole"

violations=$(curl -fsS http://127.0.0.1:17021/metrics | grep '_invariant_violations_total{' | grep -cv ' 0$' || true)
[ "$violations" = 0 ] || fail "invariants were violated"
echo "all of it was right"
