#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into review/build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
for source in review/standins/*.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "review/build/$(basename "$source" .cpp)"
done
