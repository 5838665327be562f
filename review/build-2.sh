#!/usr/bin/env bash
# Compiles the stand-ins and the scripted cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -Xlint:-options --release 17 -d target/review-2 review/standins-2/*.java review/*/Case*.java
