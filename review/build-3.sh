#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/harness-3 ./review/harness-3
