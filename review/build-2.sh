#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
