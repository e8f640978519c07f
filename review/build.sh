#!/bin/sh
# Builds the stand-ins of the review. It needs only Go's standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/stand ./review/stand
