#!/usr/bin/env bash
# Builds the stand-ins of the second review, which start their stand-ins and the program of the deploy file.
# Needs the compiler and the JSON headers of the deploy file's packages.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
