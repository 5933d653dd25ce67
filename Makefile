# make test   set up and run the tests        make lint   formatter, linters
# make demo   the whole path on loopback      make up     one user's deployment
# make venv   only set up                     make clean  take it all out again
SHELL := /bin/bash
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
KEEP ?=
DEPLOYMENT ?= cooperativa
PYTEST_ARGS ?=
CHECKED := src platform standins bench soak tests schema .ci

.PHONY: venv test lint demo up format generate clean

venv: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	@$(PYTHON) -c 'import sys; sys.exit(sys.version_info < (3, 11))' \
	    || { echo "$(PYTHON) is older than 3.11; set PYTHON" >&2; exit 1; }
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
	    --editable .
	touch $@

test: $(STAMP)
	$(BIN)/python -m pytest $(PYTEST_ARGS)

lint: $(STAMP)
	$(BIN)/black --check --quiet $(CHECKED) \
	    || { $(BIN)/black --check $(CHECKED); exit 1; }
	$(BIN)/isort --check-only $(CHECKED)
	$(BIN)/flake8 $(CHECKED)
	$(BIN)/mypy
	.ci/generated
	$(BIN)/python schema/settings_page.py --check

format: $(STAMP)
	$(BIN)/black $(CHECKED)
	$(BIN)/isort $(CHECKED)

generate: $(STAMP)
	schema/generate.sh
	$(BIN)/python schema/settings_page.py

demo: $(STAMP)
	$(BIN)/python -m bench.demo --daemons 3 $(if $(KEEP),--keep)

up: $(STAMP)
	$(BIN)/python -m bench.demo --keep --deployment $(DEPLOYMENT)

clean:
	rm -rf $(VENV) build dist .mypy_cache .pytest_cache .hypothesis
	find src standins bench tests schema .ci -name __pycache__ -prune \
	    -exec rm -rf {} +
