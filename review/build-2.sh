#!/bin/bash
# Builds the stand-ins of the review's scripts (review/6 and following) into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
go build -o ../../target/review-2/stand-2 .
