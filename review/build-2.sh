#!/usr/bin/env bash
# Builds the stand-ins of the second review. The program under test is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/ ./review/standin-2
