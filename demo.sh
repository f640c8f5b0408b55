#!/usr/bin/env bash
# Builds everything, then loses an engine and a router in the middle of one answer.
set -euo pipefail
cd "$(dirname "$0")"

cargo build --locked --bins --examples

# The driver takes this shell's place, so that Ctrl-C reaches it and it ends what it started.
exec "${CARGO_TARGET_DIR:-target}/debug/examples/demo_driver" "$@"
