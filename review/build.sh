#!/bin/sh
# The stand-ins are Python and use the standard library only: building them is compiling them.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review
