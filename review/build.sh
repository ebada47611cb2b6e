#!/bin/sh
# Builds the program that plays the clients, the engines and the platform of the scripted cases.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-lab ./review/lab
