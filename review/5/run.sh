#!/usr/bin/env bash
# TROUBLE=0 does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/wellwheel.jar ] && [ -e target/review/OldConfig.class ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec java -Xmx256m -cp target/review OldConfig review/5
