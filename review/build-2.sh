#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. They are made of Python's standard
# library only, so that nothing but their bytecode is built.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile loopback.py 4/case.py 5/case.py 6/case.py
