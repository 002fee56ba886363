#!/usr/bin/env bash
# Installs missing packages and builds all targets in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install-packages.sh
export CCACHE_DIR="${CCACHE_DIR:-$PWD/.ccache}"
cmake -G Ninja -B build -DCMAKE_CXX_COMPILER_LAUNCHER=ccache . >/dev/null
ninja -C build >build/build.log || { tail -n 60 build/build.log; exit 1; }
