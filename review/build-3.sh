#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: one program with the platform's store, the upstreams and the callers.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
