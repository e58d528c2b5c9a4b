#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review; needs nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/stand/*.java
