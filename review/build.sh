#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags reviewlab -o target/review-lab ./review/lab
