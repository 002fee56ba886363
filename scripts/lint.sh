#!/usr/bin/env bash
# Checks format and lint of all sources that aren't generated. Skips sources that
# the manifest lists as clean and that are unchanged since, including their
# headers. With --record, adds the sources found clean to the manifest.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '/generated/')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t pending < <(python3 scripts/lint_manifest.py pending)
if [ "${#pending[@]}" -gt 0 ]; then
  run-clang-tidy -quiet -p build -j "$(nproc)" "${pending[@]/#/$PWD/}" >build/tidy.log 2>/dev/null || {
    grep -E 'error:|warning:' build/tidy.log | sort -u | head -n 60
    exit 1
  }
  if [ "${1:-}" = --record ]; then
    python3 scripts/lint_manifest.py record "${pending[@]}"
  fi
fi
echo "lint: ${#files[@]} files clean, ${#pending[@]} of them linted in this run"
