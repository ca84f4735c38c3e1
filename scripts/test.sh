#!/usr/bin/env bash
# Runs all tests with the race detector, and then alone and without it the tests that measure
# the memory of processes. The tests that KNOWN-RED.txt lists run separately: their failures
# are printed and do not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
# The default of 10 minutes a package is too short beside other load on the machine.
limit=-timeout=30m
# measured has no files with the race detector.
measured=./internal/soak/callers
red=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
if [ -z "$red" ]; then
	go test "$limit" -race -count=1 ./...
	exec go test "$limit" -count=1 "$measured"
fi
go test "$limit" -race -count=1 -skip "$red" ./...
go test "$limit" -count=1 -skip "$red" "$measured"
echo "known to fail (KNOWN-RED.txt): $red"
if output=$(go test "$limit" -p 1 -count=1 -run "$red" ./... 2>&1); then
	echo "they passed: remove them from KNOWN-RED.txt"
else
	grep -E '^ *--- FAIL|want' <<<"$output"
fi
