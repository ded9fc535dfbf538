#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin. It needs Go and no
# network: the program has a module of its own and uses the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS="-mod=mod -buildvcs=false" GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/cases .
