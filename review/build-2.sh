#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases of the second review. Needs no network: the package
# has no dependency.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
