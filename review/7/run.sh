#!/bin/sh
# Loses a machine of the core for good, and the disk of another once the successor has had its time.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-2/scene2 ] && [ -x target/celeryvalved ] || exit 2
exec build/review-2/scene2 successor review/7
