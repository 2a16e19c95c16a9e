#!/usr/bin/env bash
# Exhaustively checks every model in spec/ and each of its mutants. Mutants are listed
# in the model as lines "// MUTANT name" and selected with -DMUTANT_name. The script
# fails unless every model passes a complete search and every mutant violates an
# assertion.
set -eu
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
depth=400000
memory_mb=4096
failed=0

# search MODEL MUTANT checks a model, or one mutant of it, and prints the number of
# stored states, the depth and the verdict.
search() {
  local dir="$work/$1-${2:-model}" define=()
  [ -n "$2" ] && define=("-DMUTANT_$2")
  mkdir -p "$dir" && cp "$1.pml" "$dir/" && (
    cd "$dir"
    spin "${define[@]}" -a "$1.pml" >spin.out 2>&1
    gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c >gcc.out 2>&1
    # -E ignores invalid end states, which lost messages cause.
    ./pan -E -m$depth >pan.out 2>&1 || true
  ) || { echo "$1 ${2:-model}: could not be built"; cat "$dir"/*.out; return 1; }
  local out="$dir/pan.out" states reached errors verdict=unknown
  states=$(awk '/states, stored/ {print $1}' "$out")
  reached=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$out")
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$out")
  if [ "${errors:-}" = 0 ]; then verdict=holds; elif grep -q 'assertion violated' "$out"; then verdict=violated; fi
  if grep -Eqi 'max search depth|search not completed|out of memory|truncated|bit ?state' "$out" && [ "$verdict" = holds ]; then verdict=incomplete; fi
  local want=holds
  [ -n "$2" ] && want=violated
  local note=ok
  [ "$verdict" = "$want" ] || { note="FAILED, expected $want"; failed=1; }
  printf '%-8s %-24s states %10s  depth %6s  %-10s %s\n' "$1" "${2:-(model)}" "${states:-?}" "${reached:-?}" "$verdict" "$note"
}

for file in *.pml; do
  model=${file%.pml}
  search "$model" "" || failed=1
  for mutant in $(sed -n 's#^// MUTANT \([A-Za-z0-9_]*\).*#\1#p' "$file"); do
    search "$model" "$mutant" || failed=1
  done
done
exit $failed
