# Two commands for a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test lint format demo clean

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -W error::SyntaxWarning tests/run.py

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: $(STAMP)
	$(BIN)/python bench/demo.py

clean:
	rm -rf $(VENV)
