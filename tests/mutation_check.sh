#!/bin/bash
# Breaks one guard after the other in a scratch copy, runs the fault matrix and expects at least one red cell.
# Writes docs/mutations.md and fails if a mutation stays unnoticed. Usage: tests/mutation_check.sh [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
scratch=${SCRATCH:-$root/build-mutations}
page=$root/docs/mutations.md
jobs=4
names=("$@")
if [ ${#names[@]} -eq 0 ]; then
  for file in tests/mutations/*.patch; do names+=("$(basename "$file" .patch)"); done
fi

mkdir -p "$scratch"
# Only files that differ are copied, so that a second run builds only what changed.
git ls-files -co --exclude-standard | while read -r file; do
  if [ -f "$file" ] && ! cmp -s "$file" "$scratch/$file"; then
    mkdir -p "$scratch/$(dirname "$file")"
    cp "$file" "$scratch/$file"
  fi
done
export CCACHE_BASEDIR=$scratch CCACHE_NOHASHDIR=1
build() {
  cmake -S "$scratch" -B "$scratch/build" -G Ninja >/dev/null
  cmake --build "$scratch/build" -j $jobs --target parsleypitch_tests >"$scratch/build.log" 2>&1
}
run() {
  (cd "$scratch" && timeout 120 build/parsleypitch_tests --gtest_brief=1 --gtest_filter='matrix/*:fault_pairs*:fault_property*' 2>/dev/null || true)
}
red_cells() {
  sed -nE 's,^\[  FAILED  \] matrix/.*/([a-z_]+)__([a-z_]+)\,.*,\1/\2,p; s,^\[  FAILED  \] (fault_[a-z_.]+) .*,\1,p' | sort -u
}

build || { tail -20 "$scratch/build.log"; exit 1; }
if [ -n "$(run | red_cells)" ]; then
  echo "the matrix is red without a mutation" >&2
  exit 1
fi

table=$scratch/mutations.md
printf '%s\n' '# Mutations' '' \
  'Written by `make mutations`: each patch under `tests/mutations/` breaks one guard; the matrix has to notice it.' '' \
  '| mutation | red | cells and properties that turned red |' '|---|---|---|' >"$table"
missed=0
for name in "${names[@]}"; do
  file=$root/tests/mutations/$name.patch
  patch -s -p1 -d "$scratch" <"$file"
  if build; then
    red=$(run | red_cells)
  else
    red="(does not build)"
    missed=1
  fi
  patch -s -R -p1 -d "$scratch" <"$file"
  count=$(printf '%s' "$red" | grep -c . || true)
  [ "$count" -gt 0 ] || missed=1
  printf '| %s | %s | %s |\n' "$name" "$count" "$(printf '%s' "$red" | paste -sd' ')" | tee -a "$table"
done
cp "$table" "$page"
exit $missed
