PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed
TEST_PROCESSES ?= 3

.PHONY: demo test lint measure soak format

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	PYTHONPATH=platform:. $(VENV)/bin/python -m demo

test: $(STAMP)
	$(VENV)/bin/python -m pytest -n $(TEST_PROCESSES) --dist worksteal -m "not alone"
	$(VENV)/bin/python -m pytest -m alone

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

measure: $(STAMP)
	$(VENV)/bin/python -m measure

# Some minutes with fresh seeds.
soak: $(STAMP)
	PYTHONPATH=platform:. $(VENV)/bin/python -m soak --minutes 3
