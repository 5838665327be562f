#!/bin/bash
# Builds the stand-ins of the scripts into target/review. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:-options --release 17 -d target/review review/standins/*.java
