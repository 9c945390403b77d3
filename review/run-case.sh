#!/bin/sh
# Plays one case: run-case.sh CASE FOLDER [RECORD]. It adds to the record, FOLDER/record.txt by default. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 plays it without the disruption.
ROOT=$(cd "$(dirname "$0")/.." && pwd)
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN
FOLDER=$(cd "$2" && pwd)
RECORD=${3:-$FOLDER/record.txt}
: > "$FOLDER/pids.txt"
standin=
end() {
  [ -n "$standin" ] && kill -TERM "$standin" 2> /dev/null
  while read -r pid; do
    case "$(tr '\0' ' ' 2> /dev/null < "/proc/$pid/cmdline")" in
      *dunlinspread*) kill -KILL "$pid" ;;
    esac
  done < "$FOLDER/pids.txt"
}
trap 'end; exit 2' INT TERM
timeout -s KILL 115 "$ROOT/review/bin/standin" "$1" "$FOLDER" "$RECORD" &
standin=$!
wait "$standin"
code=$?
standin=
end
case "$code" in
  0 | 1) exit "$code" ;;
  *)
    echo "could not run: the stand-in ended with $code" >> "$RECORD"
    exit 2
    ;;
esac
