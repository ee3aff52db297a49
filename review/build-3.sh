#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start, in build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B build/review-3 -G Ninja -DCMAKE_C_COMPILER=clang \
    -DCMAKE_CXX_COMPILER=clang++
ninja -C build/review-3
