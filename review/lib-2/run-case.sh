#!/bin/sh
# run-case.sh FOLDER CLASS: runs a case with a temporary folder of its own; 1 broken, 0 held, 2 could not run.
root="$(cd "$(dirname "$0")/../.." && pwd)"
folder="$1"
if [ ! -d "$root/review/lib-2/target" ] || [ ! -e "$root/cli/target/gradereach.jar" ]; then
  echo "run review/build-2.sh first" >&2
  exit 2
fi
temp="$(mktemp -d)" || exit 2
java -Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dcase.root="$root" -Dcase.folder="$folder" -Dcase.temp="$temp" \
    -cp "$root/review/lib-2/target:$root/cli/target/gradereach.jar:$root/cli/target/lib/*" "$2" &
pid=$!
trap 'kill $pid 2>/dev/null' TERM INT HUP
wait $pid
code=$?
if [ -n "${KEEP:-}" ]; then echo "kept $temp"; else rm -rf "$temp"; fi
case $code in 0|1) exit $code;; *) exit 2;; esac
