# Two commands on a fresh machine: `make demo` and `make test`. Each sets up what it needs.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test lint bench clean

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(READY)

demo: $(READY)
	$(BIN)/dewledge demo

test: $(READY)
	$(BIN)/python -m tests.run

lint: $(READY)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy

bench: $(READY)
	$(BIN)/dewledge bench --deployment permits --scenario primary-cut

clean:
	rm -rf $(VENV) build dist .mypy_cache .ruff_cache .hypothesis
