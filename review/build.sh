#!/bin/sh
# Builds the stand-ins of all cases: standard library only, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/cases review/stand/cases.rs
