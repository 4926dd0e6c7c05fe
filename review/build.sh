#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts with the compiler alone; nothing is downloaded.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
for source in review/standin/*.rust; do
  name=$(basename "$source" .rust)
  if [ "$name" != common ]; then
    rustc -O --edition 2021 -o "target/review/$name" "$source"
  fi
done
