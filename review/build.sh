#!/usr/bin/env bash
# Builds the stand-ins of all cases. They are a module of their own, without dependencies.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target/review
go build -o ../../target/review/drill .
