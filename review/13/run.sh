#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# no worker is lost.
cd "$(dirname "$0")" || exit 2
exec ../harness-3/target/release/review-harness-3 names .
