#!/usr/bin/env bash
# Runs all tests of a build folder except the known failures in KNOWN-RED.txt, which are printed.
# Usage: run_tests.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
known_failures=$(grep -oE '^test [A-Za-z0-9_]+' KNOWN-RED.txt | cut -d' ' -f2 | paste -sd'|' || true)
if [ -n "$known_failures" ]; then
    echo "skipped, see KNOWN-RED.txt: ${known_failures//|/, }"
    cat KNOWN-RED.txt
    ctest --test-dir "$build" --output-on-failure -j "$(nproc)" -E "^($known_failures)\$"
else
    ctest --test-dir "$build" --output-on-failure -j "$(nproc)"
fi
