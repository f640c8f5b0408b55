#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10: one program a case, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.rs; do
  [ -e "$source" ] || continue
  name="$(basename "$(dirname "$source")")"
  rustc --edition 2021 -O -A warnings --crate-name "case_$name" -o "target/review-2/case-$name" "$source"
done
