#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. It needs Go and nothing from a network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOPROXY=off GOWORK=off go test -c -o bin/standin-2 .
