#!/usr/bin/env bash
# Starts and stops a small fleet of separate processes on loopback. Source it with
# ENGINES and ENTRIES set to the number of each; start_fleet sets ENTRY_LIST and
# ENGINE_LIST to their addresses. Processes are stopped by process ID.
# Ports above BASE_PORT: 0 configuration service; from 1 entries, for callers; from 101
# entries, for operators; 200 booking sidecar; from 201 engine sidecars; 300 booking
# service; from 301 engines.
set -euo pipefail

bin=${BIN:-bin/endivepost}
work=$(mktemp -d)
started=()
export ENDIVEPOST_SECRET=a-secret-for-loopback
desk_key=desk-key
base_port=${BASE_PORT:-21000}

stop_fleet() {
  for process in "${started[@]:-}"; do
    [ -n "$process" ] && kill "$process" 2>/dev/null || true
  done
  for process in "${started[@]:-}"; do
    [ -n "$process" ] && wait "$process" 2>/dev/null || true
  done
  started=()
}
trap 'stop_fleet; rm -rf "$work"' EXIT
trap 'exit 130' INT TERM

launch() {
  "$bin" "$@" >>"$work/log" 2>&1 &
  started+=($!)
}

await() {
  for _ in $(seq 1 200); do
    curl -fs -o /dev/null "http://$1/readyz" && return 0
    sleep 0.1
  done
  echo "$1 did not become ready within 20 s" >&2
  return 1
}

# start_fleet CLASSES_JSON [FLAG...] starts the fleet; the flags are passed to entries.
start_fleet() {
  local classes=$1 upstreams="" vms="" i
  shift
  for i in $(seq 1 "$ENGINES"); do
    upstreams+="{\"name\": \"runner-$i\", \"model\": \"chat\"},"
    vms+="{\"name\": \"runner-$i\", \"address\": \"127.0.0.1:$((base_port + 200 + i))\", \"role\": \"sidecar\", \"domain\": \"domain-$((i % 4))\"},"
  done
  upstreams+="{\"name\": \"booking-1\", \"service\": \"booking\"}"
  vms+="{\"name\": \"booking-1\", \"address\": \"127.0.0.1:$((base_port + 200))\", \"role\": \"sidecar\", \"domain\": \"domain-0\"}"
  for i in $(seq 1 "$ENTRIES"); do
    vms+=",{\"name\": \"entry-$i\", \"address\": \"127.0.0.1:$((base_port + 100 + i))\", \"role\": \"entry\", \"domain\": \"domain-$((i % 4))\"}"
  done
  local sum
  sum=$(printf '%s' "$desk_key" | sha256sum | cut -d' ' -f1)
  sed -e "s/@KEY@/$sum/" -e "s/@UPSTREAMS@/${upstreams//\//\\/}/" "$classes" >"$work/classes.json"
  printf '[%s]' "$vms" >"$work/vms.json"
  "$bin" check "$work/classes.json" >/dev/null
  launch stand-in platform --listen "127.0.0.1:$base_port" --config "$work/classes.json" --vms "$work/vms.json"
  launch stand-in service --listen "127.0.0.1:$((base_port + 300))"
  launch sidecar --name booking-1 --listen "127.0.0.1:$((base_port + 200))" --upstream "127.0.0.1:$((base_port + 300))" --trace-share 0
  ENGINE_LIST=""
  for i in $(seq 1 "$ENGINES"); do
    # shellcheck disable=SC2086
    launch stand-in engine --listen "127.0.0.1:$((base_port + 300 + i))" ${ENGINE_FLAGS:-}
    # shellcheck disable=SC2086
    launch sidecar --name "runner-$i" --listen "127.0.0.1:$((base_port + 200 + i))" \
      --upstream "127.0.0.1:$((base_port + 300 + i))" --trace-share 0 ${SIDECAR_FLAGS:-}
    ENGINE_LIST+="${ENGINE_LIST:+,}127.0.0.1:$((base_port + 300 + i))"
  done
  ENTRY_LIST=""
  for i in $(seq 1 "$ENTRIES"); do
    launch entry --name "entry-$i" --domain "domain-$((i % 4))" --listen "127.0.0.1:$((base_port + i))" \
      --admin "127.0.0.1:$((base_port + 100 + i))" --platform "http://127.0.0.1:$base_port" --trace-share 0 "$@"
    ENTRY_LIST+="${ENTRY_LIST:+,}127.0.0.1:$((base_port + i))"
  done
  for i in $(seq 1 "$ENTRIES"); do
    await "127.0.0.1:$((base_port + 100 + i))"
  done
}
