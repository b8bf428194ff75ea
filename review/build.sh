#!/bin/bash
# Builds the stand-ins of each case into its folder. Needs a C++20 compiler and its standard library, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
for source in [0-9]*/case.cpp; do
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -o "${source%.cpp}" "$source"
done
