#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Run it after the build of the
# deploy file, which builds the program itself.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/driver3 ./review/driver3
