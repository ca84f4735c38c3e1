#!/usr/bin/env bash
# Runs all tests with the race detector. Those that KNOWN-RED.txt lists run apart:
# what they say is printed and does not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
if [ -z "$red" ]; then
	exec go test -race -count=1 ./...
fi
go test -race -count=1 -skip "$red" ./...
echo "known to be red (KNOWN-RED.txt): $red"
if said=$(go test -count=1 -run "$red" ./... 2>&1); then
	echo "they passed: take them out of KNOWN-RED.txt"
else
	grep -E '^ *--- FAIL|want' <<<"$said"
fi
