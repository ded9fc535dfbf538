#!/usr/bin/env bash
# Builds the program that runs the scripts of the cases 6 to 10: their stand-ins, the
# clients and the checks. The gateway is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/lab
