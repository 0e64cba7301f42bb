#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, with the standard library only, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/lab"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../bin/reviewlab .
