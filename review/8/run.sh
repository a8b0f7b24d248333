#!/usr/bin/env bash
# Plays the case "grey"; needs the build line of deploy/system.toml and review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickorylug ] && [ -x target/review-2/stage ] || { echo "not built"; exit 2; }
exec target/review-2/stage -case grey -program target/hickorylug -folder review/8
