#!/bin/bash
# Builds every stand-in that the scripts of the cases start. Needs no network.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --offline --manifest-path review/standins/Cargo.toml
