#!/bin/sh
# Runs clang-tidy on the C++ sources, without generated ones. Usage: check_lint.sh [BUILD_FOLDER]
set -eu
cd "$(dirname "$0")/.."
build=$(realpath "${1:-build}")
lint=$build/lint
mkdir -p "$lint"
# clang 14 can't read GCC's precompiled headers, and needs these macros to enable the coroutines of libstdc++ and Asio.
python3 - "$build/compile_commands.json" "$lint/compile_commands.json" <<'EOF'
import json
import re
import sys

entries = []
for entry in json.load(open(sys.argv[1])):
    if "/generated/" in entry["file"] or "cmake_pch" in entry["file"]:
        continue
    command = re.sub(r"-include \S*cmake_pch\S*", "", entry["command"])
    command = re.sub(r"-W\S+|-fsanitize\S*|\S*ccache ", "", command).replace("-Winvalid-pch", "")
    entry["command"] = command + " -D__cpp_impl_coroutine=201902L -DBOOST_ASIO_HAS_CO_AWAIT=1 -DBOOST_ASIO_HAS_STD_COROUTINE=1"
    entries.append(entry)
json.dump(entries, open(sys.argv[2], "w"))
EOF
status=0
run-clang-tidy -quiet -p "$lint" >"$lint/output.txt" 2>"$lint/errors.txt" || status=$?
grep -E "(warning|error):" "$lint/output.txt" | sort -u || true
exit $status
