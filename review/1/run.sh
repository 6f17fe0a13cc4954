#!/bin/sh
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/daisywinch ] && [ -x target/review/1 ] || exit 2
exec target/review/1 "$folder"
