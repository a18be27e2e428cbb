#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
go build -tags review -o build/review-2/scene2 ./review/scene2
