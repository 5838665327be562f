#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -d target/review ] || { echo "run review/build.sh first"; exit 2; }
case "${TROUBLE:-1}" in
  0) trouble=false ;;
  1) trouble=true ;;
  *) echo "TROUBLE is 0 or 1"; exit 2 ;;
esac
exec java -Xmx256m -Dreview.trouble="$trouble" -cp target/review review.IdleCaller "$here/record.txt"
