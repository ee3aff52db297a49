#!/usr/bin/env bash
# Builds the stand-ins and the cases in build/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build/review -G Ninja -DCMAKE_CXX_COMPILER=clang++ >/dev/null
ninja -C build/review
