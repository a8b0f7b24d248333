#!/usr/bin/env bash
# Builds the stand-ins and the player of the review's scripts into target/, which git leaves out.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-cases ./review/tools/cases
