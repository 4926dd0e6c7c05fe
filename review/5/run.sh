#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/config_limits
if [ ! -x "$program" ] || [ ! -x target/release/anvilferryd ]; then
  echo "build the daemon as the deploy file says, and run review/build.sh" >&2
  exit 2
fi
exec "$program" review/5/record.txt
