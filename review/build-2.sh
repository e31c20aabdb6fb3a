#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file: needs target/vetchpost.jar and the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf review/standins-2/classes
mkdir -p review/standins-2/classes
javac -Xlint:all,-processing,-serial -cp target/vetchpost.jar -d review/standins-2/classes review/standins-2/src/*.java
