#!/bin/sh
# Builds the stand-ins and drivers of the scripts into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/driver.cc; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review/$name"
done
