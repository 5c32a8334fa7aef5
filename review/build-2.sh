#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need the standard library only.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins_2
