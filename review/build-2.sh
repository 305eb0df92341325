#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
