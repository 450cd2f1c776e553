PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint format bench fuzz

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo.run

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check src tests demo bench
	$(BIN)/ruff check src tests demo bench
	$(BIN)/flake8 src tests demo bench
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff check --fix src tests demo bench
	$(BIN)/ruff format src tests demo bench

bench: $(STAMP)
	$(BIN)/python -m bench.run

fuzz: $(STAMP)
	APRICOTLEAD_FUZZ=long $(BIN)/python -m pytest -k fuzz
