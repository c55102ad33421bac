#!/bin/bash
# Builds the stand-ins of the cases 4 to 8; the service has to be built before.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -encoding UTF-8 -cp 'target/lib/*' -d target/review-2 review/rig/*.java
