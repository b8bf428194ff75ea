#!/bin/bash
# Runs the case in the folder given as the first argument: a temporary folder, the `run` command of the deploy file, a limit of time.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
set -u
folder="$(cd "$1" && pwd)"
review="$(dirname "$folder")"
root="$(dirname "$review")"
program="$review/bin/case-$(basename "$folder")"
run="$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")"
if [ ! -x "$program" ] || [ ! -x "$root/build/gorsemount" ] || [ -z "$run" ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
temporary="$(mktemp -d)" || exit 2
trap 'rm -rf "$temporary"' EXIT
CASE_ROOT="$root" CASE_RUN="$run" CASE_TMP="$temporary" CASE_RECORD="$folder/record.txt" timeout -s KILL 115 "$program"
code=$?
[ -f "$temporary/log.txt" ] && { echo "--- last lines of the coordinator's log"; tail -n 3 "$temporary/log.txt"; } >>"$folder/record.txt"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
