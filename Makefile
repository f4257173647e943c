PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := common policy node operator standins router experiments
INSTALLED := $(VENV)/.installed

.PHONY: demo test format clean

demo: $(INSTALLED)
	$(BIN)/python tools/demo.py

test: $(INSTALLED)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest

format: $(INSTALLED)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build

$(INSTALLED): constraints.txt dev-requirements.txt $(PACKAGES:%=packages/%/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	    -c constraints.txt -r dev-requirements.txt $(PACKAGES:%=-e packages/%) -e platform
	touch $(INSTALLED)
