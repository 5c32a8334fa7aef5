#!/bin/sh
# All cases of this review are days of the bench. No script starts a stand-in, so that
# there is nothing to build.
exit 0
