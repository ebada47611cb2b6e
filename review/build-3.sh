#!/usr/bin/env bash
# Builds the program that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-stage ./review/stage
