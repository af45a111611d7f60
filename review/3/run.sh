#!/bin/sh
# TROUBLE=0 leaves the disruption out. Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:.:review"
python3 -c "import harness, cranebank.fleetlab.backend" || exit 2
exec python3 review/3/case.py
