#!/usr/bin/env bash
# Plays the case with the program as the deploy file builds it; see claim.txt and review/standin.
# TROUBLE=0 leaves the disruption out.
set -u
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
for program in target/release/tamaracklead-platform target/review/standin; do
  [ -x "$program" ] || { echo "$program isn't built" >&2; exit 2; }
done
exec target/review/standin read-in-vain "$dir"
