#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c standin/Harness.cpp -o bin/Harness.o
for name in standin/*.cpp; do
  name=$(basename "$name" .cpp)
  [ "$name" = Harness ] || g++ "${flags[@]}" "standin/$name.cpp" bin/Harness.o -o "bin/$name"
done
