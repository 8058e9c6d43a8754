#!/bin/sh
# Builds what the cases start: the command line with the project's stand-ins, and the cases themselves. Only the modules of the
# command line: Maven then needs nothing but what the deploy file's build has left in its local repository, and no network.
set -eu
cd "$(dirname "$0")/.."
if [ ! -e cli/target/gradereach.jar ] || [ ! -d cli/target/lib ]; then
  mvn -o -B -ntp -q -DskipTests -pl cli -am package
fi
rm -rf review/target
mkdir -p review/target
javac -d review/target review/lib/*.java review/[0-9]*/*.java
