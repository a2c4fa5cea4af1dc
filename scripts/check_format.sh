#!/bin/sh
# Checks the formatting of our own sources; with --fix it formats them.
set -eu
cd "$(dirname "$0")/.."
mode="--dry-run --Werror"
[ "${1:-}" = "--fix" ] && mode="-i"
git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | grep -v /generated/ | xargs clang-format $mode
