#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -tags review -o review/bin/ ./review/harness
