#!/bin/sh
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/standin2 ] || [ ! -x target/baobabdale ]; then
  echo "build with the deploy file's command and review/build-2.sh first" >&2
  exit 2
fi
exec timeout 115 target/standin2 late-heartbeat review/10
