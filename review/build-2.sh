#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/ ./review/tools-2/...
