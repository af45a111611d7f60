# `make test` is all that a fresh machine needs; it makes the virtual environment first.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/developers.txt

.PHONY: test lint

$(BIN)/python:
	$(PYTHON) -m venv $(VENV)

$(STAMP): $(BIN)/python requirements.txt requirements-lab.txt requirements-dev.txt
	$(BIN)/python -m pip install -q --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
	touch $@

test: $(STAMP)
	$(BIN)/python -m pytest -q -n 4

lint: $(STAMP)
	$(BIN)/ruff check cranebank tests
	$(BIN)/mypy
