#!/bin/bash
# Builds the programs that the scripts of the third review start, beside the gateway of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/cases-3
