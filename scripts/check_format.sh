#!/bin/sh
# Checks the formatting of the C++ sources, without generated ones. Usage: check_format.sh [--fix]
# With --fix the sources are formatted in place.
set -eu
cd "$(dirname "$0")/.."
mode="--dry-run --Werror"
[ "${1:-}" = "--fix" ] && mode="-i"
git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | grep -v /generated/ | xargs clang-format $mode
