#!/usr/bin/env bash
# Puts the runtime libraries, by their hashes, and the project's own packages under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! -f target/.libraries ] || [ requirements/relay.txt -nt target/.libraries ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --require-hashes \
        --target "$deps" -r requirements/relay.txt
    touch target/.libraries
fi
for package in rookspring_core rookspring rookspring_platform; do
    rm -rf "${deps:?}/$package"
done
cp -r packages/rookspring-core/src/rookspring_core packages/rookspring/src/rookspring \
    platform/src/rookspring_platform "$deps"/
find "$deps"/rookspring* -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$deps"/rookspring* "$deps"
