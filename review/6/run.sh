#!/bin/sh
# Replaces two machines of the core one after the other, as planned work.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-2/scene2 ] && [ -x target/celeryvalved ] || exit 2
exec build/review-2/scene2 replacements review/6
