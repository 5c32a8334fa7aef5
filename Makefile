# One command runs the demo, one passes the tests; both set up .venv first.
PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: demo serve test lint check clean

demo: $(STAMP)
	$(VENV)/bin/goldcrestpond-demo run

serve: $(STAMP)
	$(VENV)/bin/goldcrestpond-demo serve --caller_port 6432 --api_port 6480

test: $(STAMP)
	$(VENV)/bin/python -m pytest -n 4 --dist worksteal

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports --no-cache

check: lint test

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[test]'
	touch $(STAMP)

clean:
	rm -rf $(VENV)
