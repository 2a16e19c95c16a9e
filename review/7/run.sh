#!/usr/bin/env bash
# A tenant becomes dedicated after it has shared a part of its prompts. TROUBLE=0 leaves the
# configuration as it is.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/galenaweir-entry ] && [ -x target/review-driver-2 ] || exit 2
exec target/review-driver-2 --record review/7/record.txt wall
