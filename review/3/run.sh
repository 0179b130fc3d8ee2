#!/bin/sh
# Runs the case "foreign-bytes". TROUBLE=0 leaves the disruption out. Needs review/build.sh before.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/standins ] && [ -x target/release/lilacspindled ] || {
    echo "build the project and run review/build.sh first"
    exit 2
}
# What is sent, answered and run is written to record.txt; the stand-ins add to it.
record="$here/record.txt"
echo "TROUBLE=${TROUBLE:-1}" > "$record" || exit 2
pids=$(mktemp) || exit 2
RECORD="$record" PID_FILE="$pids" TROUBLE="${TROUBLE:-1}" target/review/standins foreign-bytes &
case=$!
# The processes of the case are ended even if this script is stopped.
trap 'kill $case; for pid in $(cat "$pids"); do kill -9 "$pid" 2>/dev/null; done; rm -f "$pids"; exit 2' INT TERM
wait $case
code=$?
rm -f "$pids"
echo "exit code $code" >> "$record"
exit $code
