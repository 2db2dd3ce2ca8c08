#!/usr/bin/env bash
# Plays this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/harness ] || exit 2
exec review/bin/harness -case seeds -record review/5/record.txt
