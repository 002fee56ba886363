#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review in target/review-2, after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -j6
