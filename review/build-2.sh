#!/bin/sh
# The stand-ins of the second review are Python 3.11 programs without further packages, and need no build: this checks that
# they can be read. tests/soak/store.py is the project's own stand-in of the platform's store.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py ../tests/soak/store.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
