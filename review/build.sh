#!/bin/sh
# Builds the stand-ins of the cases; needs nothing but the compiler.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -C opt-level=2 -o bin/standin standin/main.rs
