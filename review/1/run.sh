#!/bin/bash
# Runs this case: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/balancer.toml and review/build.sh. The program that takes this script's place ends by itself within 110 s,
# also when it is interrupted, and the coordinator that it starts ends with it.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
root="$(dirname "$(dirname "$folder")")"
run="$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")"
if [ ! -x "$folder/case" ] || [ ! -x "$root/build/gorsemount" ] || [ -z "$run" ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
export TROUBLE="${TROUBLE:-1}" CASE_ROOT="$root" CASE_RUN="$run" CASE_RECORD="$folder/record.txt"
exec "$folder/case"
