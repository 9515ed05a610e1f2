#!/bin/sh
# DRAIN: a worker's late write of 'ready' after its report of 'draining'.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jackdaw-entry ] && [ -x target/review/standin ] || exit 2
rm -f review/1/record.txt
target/review/standin scenario drain review/1
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
