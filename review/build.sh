#!/bin/bash
# Builds the stand-ins of all cases into review/bin. Needs a C++20 compiler and its standard library, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cpp; do
  number="$(dirname "$source")"
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -Istandin -o "bin/case-$number" "$source"
done
