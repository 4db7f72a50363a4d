#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O1 -Wall -Wextra -pthread review/standin/*.cc -o target/review/review_case
