#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, one program a
# case. They need a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for case in review/{6,7,8,9,10}/Case.cpp; do
  [ -f "$case" ] || continue
  name=$(basename "$(dirname "$case")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
    review/standin-2/*.cpp "$case" -o "target/review-2/case-$name"
done
