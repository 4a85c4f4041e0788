#!/usr/bin/env bash
# Builds the stand-ins and the tests of the review; needs nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir target
javac --release 17 -Xlint:all -d target src/*.java
