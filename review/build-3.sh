#!/usr/bin/env bash
# Checks what the scripts of review/11 to review/15 need. Their stand-ins are Python files
# that use the standard library alone, so nothing is compiled or installed.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import standins_3.site'
