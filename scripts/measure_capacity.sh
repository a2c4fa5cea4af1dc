#!/bin/sh
# Measures the costs per unit of size that docs/CAPACITY.md uses, and writes docs/measurements/slopes.csv and slopes.svg.
# Usage: measure_capacity.sh [BUILD_FOLDER]
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
"$build/bin/ledge-bench" >docs/measurements/slopes.csv
/usr/bin/python3 scripts/plot_slopes.py docs/measurements/slopes.csv docs/measurements/slopes.svg
