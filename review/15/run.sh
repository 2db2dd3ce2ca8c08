#!/usr/bin/env bash
# Runs the case; needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/harness-3 ] || exit 2
exec ../bin/harness-3 -case leaving -root ../.. -record record.txt
