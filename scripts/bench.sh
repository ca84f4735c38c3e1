#!/usr/bin/env bash
# Runs one scenario with each placement policy in turn, with the same seeds.
# Usage: scripts/bench.sh [SCENARIO [POLICY...]]
# Variables: SEEDS, ENGINES, ENTRIES, and the flags ENGINE_FLAGS, ENTRY_FLAGS and
# SIDECAR_FLAGS of the processes.
cd "$(dirname "$0")/.."
scenario=${1:-scenarios/burst.json}
shift || true
policies=("$@")
[ ${#policies[@]} -gt 0 ] || policies=(late-binding better-two least-load round-robin)
ENGINES=${ENGINES:-6} ENTRIES=${ENTRIES:-3}
ENGINE_FLAGS=${ENGINE_FLAGS:-"--step-base 12ms --step-each 1200us"}
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
for seed in ${SEEDS:-1}; do
  for policy in "${policies[@]}"; do
    # shellcheck disable=SC2086
    start_fleet scenarios/classes.json --placement "$policy" ${ENTRY_FLAGS:-}
    echo "placement=$policy seed=$seed engines=$ENGINES entries=$ENTRIES $(basename "$scenario")"
    "$bin" load --scenario "$scenario" --entries "$ENTRY_LIST" --engines "$ENGINE_LIST" --seed "$seed"
    stop_fleet
  done
done
