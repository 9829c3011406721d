#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 and following into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/standins-3
