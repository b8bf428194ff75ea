#!/bin/bash
# Builds the stand-ins of cases 6 to 10, each from one source and the standard library, to review/N/case.
set -euo pipefail
cd "$(dirname "$0")"
for source in */trial.cpp; do
  folder=$(dirname "$source")
  echo "review/$folder/case"
  g++ -std=c++20 -O2 -Wall -Wextra -o "$folder/case" "$source"
done
