#!/bin/bash
# Builds the stand-ins of the cases review/6 to review/8.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/standin-2
