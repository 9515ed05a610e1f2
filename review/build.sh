#!/bin/sh
# Builds the stand-ins that the scripts start, with the toolchain alone; run after the build of the
# deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review || exit 2
exec rustc --edition 2024 -O -o target/review/standin review/standins/standin.rs
