#!/bin/bash
# Builds the stand-ins of the cases 6 to 10, into target/review-2. It needs only the C++ compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o target/review-2/standin review/standin-2/main.cc
