#!/bin/sh
# Builds what the scripts of this review start beside the program of the deploy file: nothing is
# compiled. The stand-ins are platform/standin.py, review/lib-2 and the case.py of each folder; they
# need python3 with its standard library only, which is checked here.
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'CHECK'
import ast, pathlib, sys
if sys.version_info < (3, 9):
    sys.exit("python3 is older than 3.9")
files = [pathlib.Path("platform/standin.py"), pathlib.Path("review/lib-2/deployment.py"),
         *(pathlib.Path(f"review/{n}/case.py") for n in range(6, 11))]
for file in files:
    ast.parse(file.read_text(), str(file))
print(f"{len(files)} stand-ins and cases can run")
CHECK
