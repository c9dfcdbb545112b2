#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python and use the standard library only: building them is compiling them.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review/lib2 review/[0-9]*
