#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python and need no build. Checks that this machine can run them.
set -eu
cd "$(dirname "$0")"
python3 -B - standins-2/mesh2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or newer")
for path in sys.argv[1:]:
    compile(pathlib.Path(path).read_text(encoding="utf-8"), path, "exec")
print(f"{len(sys.argv) - 1} files compile")
END
