VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: install test lint format generate bench

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev]'
	touch $@

install: $(VENV)/installed

test: install
	$(BIN)/python -m pytest

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: install
	$(BIN)/python -m benchmarks

generate:
	rm -rf build/gen && mkdir -p build/gen
	thrift -r --gen py:slots,enum -out build/gen marigoldsill/protocol/marigoldsill.thrift
	rm -f build/gen/marigoldsill/protocol/generated/*-remote
	cp build/gen/marigoldsill/protocol/generated/*.py marigoldsill/protocol/generated/
