#!/bin/sh
# Checks that the interpreter of the stand-ins is there; they need no build.
set -eu
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.exit(sys.version_info < (3, 8))'
for file in *.py [1-5]/*.py; do
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
