#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target
CGO_ENABLED=0 GOWORK=off go build -o ../../target/standins2 .
