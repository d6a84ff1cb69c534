#!/bin/bash
# Builds the stand-ins that the scripts of the review start, into target/ like the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
