# Everything is installed into $(VENV), at the versions of constraints.txt.
VENV ?= .venv
PYTHON ?= $(shell command -v python3.11 || command -v python3)
PYTEST_ARGS ?=
# Most tests wait for other processes, so several run side by side.
TEST_WORKERS ?= -n 4
BIN = $(VENV)/bin
BINARY = dist/marigoldsill

# Compiled files make each process start faster and smaller.
unexport PYTHONDONTWRITEBYTECODE
unexport PYTHONPATH

.PHONY: install demo test lint format bench binary docs generate clean

$(VENV)/installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -qq --constraint constraints.txt -e '.[dev]'
	touch $@

install: $(VENV)/installed

demo: install
	$(BIN)/python -m marigoldsill local --demo

test: install
	$(BIN)/python -m pytest $(TEST_WORKERS) $(PYTEST_ARGS)

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest tests/lint

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: install
	$(BIN)/python -m benchmarks

binary: install
	$(BIN)/python -m build_tools.binary $(BINARY)

docs: install
	$(BIN)/python -m build_tools.settings_page > docs/settings.md

generate:
	rm -rf build/gen && mkdir -p build/gen
	thrift -r --gen py:slots,enum -out build/gen marigoldsill/protocol/marigoldsill.thrift
	rm -f build/gen/marigoldsill/protocol/generated/*-remote
	cp build/gen/marigoldsill/protocol/generated/*.py marigoldsill/protocol/generated/

clean:
	rm -rf $(VENV) dist build bench-out
