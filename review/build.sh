#!/bin/sh
# Builds what the cases start: the command line with the project's stand-ins, and the cases themselves. Needs no network where
# the project has been built as its deploy file does and Maven's local repository holds what the command line needs.
set -eu
cd "$(dirname "$0")/.."
if [ ! -e cli/target/gradereach.jar ] || [ ! -d cli/target/lib ]; then
  mvn -o -B -ntp -q -DskipTests package || mvn -B -ntp -q -DskipTests package
  # This build has written the jars anew; the class archive of the deploy file's build belongs to the earlier ones.
fi
rm -rf review/target
mkdir -p review/target
javac -d review/target review/lib/*.java review/[0-9]*/*.java
