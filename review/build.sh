#!/usr/bin/env bash
# Builds the stand-ins and the cases in review/build/.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -G Ninja -DCMAKE_CXX_COMPILER=clang++ >/dev/null
ninja -C build
