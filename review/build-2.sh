#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/stand-2/*.java
