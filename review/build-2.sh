#!/usr/bin/env bash
# Builds the programs that the scripts of review/6 and above start beside the
# one of the deploy file, into build-review-2/.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/support-2 -B build-review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build-review-2 -j 4
