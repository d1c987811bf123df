#!/bin/sh
# Builds the stand-ins that the scripts of this review start; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/stand-ins-2/*.java
