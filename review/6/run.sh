#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] && [ -d target/daemon/lib ] || exit 2
timeout 115 java -Xmx512m -cp target/review-2 CaseWhole review/6
case $? in
	10) exit 0 ;;
	11) exit 1 ;;
	*) exit 2 ;;
esac
