#!/bin/sh
# KNOWN-RED.txt names the review's cases through this: they stay out of CI (issue 56) and are played by hand.
echo "not played here; by hand, after the build of the deploy file and review/build.sh: $1"
exit 1
