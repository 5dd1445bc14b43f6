#!/usr/bin/env bash
# Runs the case; review/build-2.sh has to have built its stand-ins. TROUBLE=0 leaves the disruption out.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/parsleypitch ] && [ -x target/review-2/deadly-and-dark ] || exit 2
exec target/review-2/deadly-and-dark review/7
