#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts review/6 to review/10 into target/review-2. Run after the build of
# deploy/system.toml, which builds target/wagtailrack. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number"
done
