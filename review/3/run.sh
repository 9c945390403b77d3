#!/bin/sh
# Case 3: client proxies are sent away while a new process waits for its worker pool. See claim.txt; needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
exec sh "$here/../run-case.sh" evacuation "$here"
