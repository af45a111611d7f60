#!/bin/sh
# TROUBLE=0 leaves the disruption out. Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.."
PYTHONPATH="target/deps:.:review" exec timeout -k 5 115 python3 review/3/case.py
