#!/usr/bin/env bash
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run. Writes review/1/record.txt.
# With TROUBLE=0 the same runs without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
case_program=target/review/case1
if [ ! -x "$case_program" ] || [ ! -x target/release/kumquatpulleyd ]; then
  echo "build the programs first: the build of the deploy file, then review/build.sh"
  exit 2
fi
"$case_program" review/1
