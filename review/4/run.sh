#!/bin/sh
# FAILBACK: workers start again, cold, under their ids while they are cut off from the store.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jackdaw-entry ] && [ -x target/review/standin ] || exit 2
rm -f review/4/record.txt
target/review/standin scenario cold review/4
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
