#!/usr/bin/env bash
# Builds the stand-in of the scripts in review/11 and review/12. Needs a C++ compiler only.
# The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-g++}" -std=c++20 -O2 -pthread -o target/review-3/standin review/standin-3/*.cpp
