#!/bin/sh
# Builds the stand-ins of the review's scripts. Run it in any folder, after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/standin
