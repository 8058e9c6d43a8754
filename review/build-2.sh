#!/bin/sh
# Builds what the cases of the second review start: the command line with the project's stand-ins, and review/lib-2 with the
# cases' sources. Run after the build of the deploy file, from anywhere. MVN_OPTS is passed to Maven, such as -o.
set -eu
cd "$(dirname "$0")/.."
mvn -B -ntp -q ${MVN_OPTS:--o} -DskipTests -pl cli -am package
rm -rf review/lib-2/target
mkdir -p review/lib-2/target
javac -proc:none -Xlint:all,-processing,-classfile -d review/lib-2/target \
    -cp "cli/target/gradereach.jar:cli/target/lib/*" review/lib-2/*.java $(ls review/*/src/*.java 2>/dev/null)
