#!/usr/bin/env bash
# Plays the case on loopback with the deploy file's command. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/amaranthplank ] && [ -x target/review-harness ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec target/review-harness -case waiting -program target/amaranthplank -record "$here/record.txt"
