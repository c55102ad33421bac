#!/bin/bash
# Builds the stand-ins of all cases, after the build of the deploy file; needs only the JDK and target/lib.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review -cp 'target/lib/*' review/standin/review/*.java
