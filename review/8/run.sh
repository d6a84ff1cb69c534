#!/bin/bash
# Plays the case "tenants-emptied". It exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without the disruption. Build first: the deploy file's line, review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mastictray-gateway ] && [ -x target/review-2/standin-2 ] || exit 2
timeout -k 2 110 target/review-2/standin-2 -case tenants-emptied -folder review/8
code=$?
[ $code -le 2 ] || code=2
exit $code
