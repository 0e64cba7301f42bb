#!/usr/bin/env bash
# Plays the case cold-again; see claim.txt. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
# TROUBLE=0 plays the case without the disruption. The stand-ins read it from the environment.
export TROUBLE="${TROUBLE:-1}"
[ -x ../../target/review-lab2 ] || exit 2
exec ../../target/review-lab2 cold-again "$(cd ../.. && pwd)" record.txt
