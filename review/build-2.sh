#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/4 to review/8 start. It needs no package.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --offline --locked \
  --manifest-path review/standins-2/Cargo.toml
