#!/usr/bin/env bash
# Starts stand-ins, two entries and four sidecars as separate processes, sends a
# request with curl and then a short mixed load, prints the attainment, and stops the
# processes. Exits 0 only if every call got its complete, correct response.
cd "$(dirname "$0")/.."
ENGINES=3 ENTRIES=2 ENGINE_FLAGS="--median-tokens 20 --most-tokens 200"
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
start_fleet scenarios/classes.json
echo "two entries at $ENTRY_LIST, four sidecars"
curl -sN --fail "http://${ENTRY_LIST%%,*}/v1/chat/completions" -H "Authorization: Bearer $desk_key" \
  -d '{"model": "chat", "stream": true, "messages": [{"role": "user", "content": "a route brief, please"}]}' >"$work/answer"
head -n 3 "$work/answer"
grep -q 'data: \[DONE\]' "$work/answer"
echo "a short mixed load:"
"$bin" load --must-be-whole --scenario scenarios/demo.json --entries "$ENTRY_LIST" --engines "$ENGINE_LIST"
"$bin" attainment --platform "http://127.0.0.1:$base_port"
echo "every call got its complete, correct response"
