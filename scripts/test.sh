#!/usr/bin/env bash
# Runs all tests with the race detector. The tests that KNOWN-RED.txt lists run
# separately: their failures are printed and do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
if [ -z "$red" ]; then
	exec go test -race -count=1 ./...
fi
go test -race -count=1 -skip "$red" ./...
echo "known to fail (KNOWN-RED.txt): $red"
if output=$(go test -count=1 -run "$red" ./... 2>&1); then
	echo "they passed: remove them from KNOWN-RED.txt"
else
	grep -E '^ *--- FAIL|want' <<<"$output"
fi
