#!/bin/bash
# Runs the case of one folder; its run.sh calls it. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
folder=review/$1
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [[ -z $run || ! -x $folder/case || ! -x build/gorsemount ]]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
"$folder/case" "$scratch" "$folder/record.txt" "$run" &
player=$!
trap 'kill "$player" 2>/dev/null; wait "$player"; exit 2' INT TERM HUP  # the coordinators end with it, and it ends with this script
wait "$player"
code=$?
tail -n 1 "$folder/record.txt"
((code <= 1)) || code=2
exit $code
