#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, without a network: they need nothing but Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
go test -c -o ../../target/review/standin .
