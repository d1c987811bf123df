#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same without the trouble.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx400m -cp target/review-2 Retention review/7/record.txt
