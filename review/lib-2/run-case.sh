#!/bin/sh
# run-case.sh CLASS RECORD: runs a case with a temporary folder of its own and writes its record; 1 broken, 0 held, 2 could not run.
root="$(cd "$(dirname "$0")/../.." && pwd)"
record="$2"
if [ ! -e "$root/review/lib-2/target/$1.class" ] || [ ! -e "$root/cli/target/gradereach.jar" ]; then
  echo "the case could not run: run review/build-2.sh first" | tee "$record" >&2
  exit 2
fi
temp="$(mktemp -d)" || exit 2
java -Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dcase.root="$root" -Dcase.record="$record" -Dcase.temp="$temp" \
    -cp "$root/review/lib-2/target:$root/cli/target/gradereach.jar:$root/cli/target/lib/*" "$1" &
pid=$!
trap 'kill $pid 2>/dev/null' TERM INT HUP
wait $pid
code=$?
if [ -n "${KEEP:-}" ]; then echo "kept $temp"; else rm -rf "$temp"; fi
case $code in 0|1) exit $code;; *) exit 2;; esac
