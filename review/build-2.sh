#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 with their stand-ins into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/casekit -B build/review-2 -G Ninja -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++
ninja -C build/review-2
