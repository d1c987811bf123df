#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/stand-in/*.java
