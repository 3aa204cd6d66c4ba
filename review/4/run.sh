#!/usr/bin/env bash
# A planned stop cuts requests that have been passed on. TROUBLE=0 leaves the disruption out.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/pipelinedStop ] || { echo "review/build.sh has not been run"; exit 2; }
timeout -s KILL 115 review/build/pipelinedStop review/4/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
