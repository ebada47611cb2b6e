#!/bin/sh
# Builds the program that plays the requesters, the engines and the platform of the cases 6 to 10.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-drill ./review/drill
