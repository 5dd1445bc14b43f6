#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruptions out.
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
export TROUBLE="${TROUBLE:-1}"
[ -x "$top/target/parsleypitch" ] && [ -x "$top/target/review/case2" ] || exit 2
cd "$top" || exit 2
timeout -k 2 60 "target/review/case2" "$top/target/parsleypitch" "$here/record.txt"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
