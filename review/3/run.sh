#!/bin/sh
# Case 3: the link to the worker pool breaks now and then.
# See claim.txt; needs the build of the deploy file and review/build.sh. What was sent, answered and run goes to record.txt.
here=$(cd "$(dirname "$0")" && pwd)
echo "case 3, relink, TROUBLE=${TROUBLE:-1}" > "$here/record.txt" || exit 2
exec sh "$here/../run-case.sh" relink "$here" "$here/record.txt"
