#!/usr/bin/env bash
# The stand-ins are Python modules in lib/ that need no build. Checks that this Python can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import ast, pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed (tomllib)")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
P
test -x ../target/bin/waxwing-relay || echo "target/bin/waxwing-relay is missing: run the build of deploy/system.toml" >&2
