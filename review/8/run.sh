#!/bin/sh
# Has a server leave while one front stands still, and kills all processes of the core then.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-2/scene2 ] && [ -x target/celeryvalved ] || exit 2
exec build/review-2/scene2 departure review/8
