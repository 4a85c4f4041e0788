#!/usr/bin/env bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/balancer.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 3 115 java -Xmx512m -cp review/target GoneClient review/3
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
