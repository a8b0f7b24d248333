#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."

go build -tags review -o target/review-held ./review/tools-3/held
go build -tags review -o target/review-silent ./review/tools-3/silent
