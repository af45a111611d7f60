#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python, so they are only compiled, and their imports tried.
# Needs what the build line of deploy/system.toml has put into target/deps; uses no network.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -m compileall -q review cranebank/fleetlab cranebank/transport
PYTHONPATH="target/deps:.:review" python3 -c "import harness"
