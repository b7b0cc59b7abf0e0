#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. They use no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
