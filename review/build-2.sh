#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name rig -o target/review/rig review/rig/main.rust
