#!/bin/sh
# Builds the stand-ins and the scripts of the cases 6 to 10. Needs the JDK alone.
set -eu
cd "$(dirname "$0")/src-2"
rm -rf target
javac -Xlint:all -Werror -d target/classes *.java
