# Named targets; each sets up everything it needs.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = core wire entry operator standins
SOURCES = packages scripts tests

.PHONY: help install format lint test demo serve measure clean

help:
	@echo "make demo | test | serve | lint | format | measure | clean"

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	@echo "setting up $(VENV)" >&2
	@$(PYTHON) -m venv $(VENV)
	@$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt >&2
	@$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation $(PACKAGES:%=-e packages/%) >&2
	@touch $@

install: $(VENV)/.installed

format: install
	$(BIN)/ruff check --quiet --fix $(SOURCES)
	$(BIN)/ruff format --quiet $(SOURCES)

lint: install
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy $(foreach package,$(PACKAGES),packages/$(package)/dandelionyoke_$(package))

test: install
	$(BIN)/python -m pytest

demo: install
	$(BIN)/python scripts/launch.py demo

serve: install
	@$(BIN)/python scripts/launch.py serve

measure: install
	$(BIN)/python -m dandelionyoke_standins measure

clean:
	rm -rf $(VENV) .ci-venv .mypy_cache .ruff_cache
