#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file. Needs no
# network and no dependency, and leaves no path of the machine in what it builds.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
go build -trimpath -buildvcs=false -o ../bin/harness-3 .
