#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python files that need the standard
# library alone, so this only compiles them, below the build's own folder.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
PYTHONPYCACHEPREFIX=../target/review-pycache python3 -m compileall -q .
