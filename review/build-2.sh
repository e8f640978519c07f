#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into bin/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags review2 -o bin/review-2 ./review/rig-2
