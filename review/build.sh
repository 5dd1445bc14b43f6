#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review. Needs g++, libasio-dev and nlohmann-json3-dev, which the
# project declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cc; do
  g++ -std=c++20 -O1 -DASIO_STANDALONE -pthread -o "target/review/$(basename "$source" .cc)" "$source"
done
