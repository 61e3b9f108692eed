# Named targets; each sets up everything it needs.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = core links wire entry operator standins dispatch gateway
PACKAGE_DIRS = $(PACKAGES:%=packages/%) platform
SOURCES = packages platform scripts tests

# What `make soak` plays: seeds that are kept, and how many new ones.
SEEDS ?= 1-50
FRESH ?= 0
SOAK_SECONDS ?= 20
# What `make silence` plays: engines, nodes, starved or both.
SILENCE_SEEDS ?= 1-5
SILENCE_SECONDS ?= 40
MODE ?= both

.PHONY: help install format lint test demo serve soak silence clean \
	measure measure-nodes measure-spread measure-path

help:
	@echo "make demo | test | serve | lint | format | clean"
	@echo "make soak SEEDS=1-50 FRESH=0 SOAK_SECONDS=20"
	@echo "make silence SILENCE_SEEDS=1-5 SILENCE_SECONDS=40 MODE=both"
	@echo "make measure | measure-nodes | measure-spread | measure-path"

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	@echo "setting up $(VENV)" >&2
	@$(PYTHON) -m venv $(VENV)
	@$(BIN)/python -m pip install -qq --disable-pip-version-check -r requirements.txt >&2
	@$(BIN)/python -m pip install -qq --disable-pip-version-check \
		--no-deps --no-build-isolation $(PACKAGE_DIRS:%=-e ./%) >&2
	@touch $@

install: $(VENV)/.installed

format: install
	$(BIN)/ruff check --quiet --fix $(SOURCES)
	$(BIN)/ruff format --quiet $(SOURCES)

lint: install
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy $(foreach package,$(PACKAGES),packages/$(package)/dandelionyoke_$(package)) \
		platform/dandelionyoke_platform

test: install
	$(BIN)/python -m pytest --ignore=tests/crowds
	@# One at a time and apart from the others, as they measure a process.
	$(BIN)/python -m pytest -n 0 tests/crowds

demo: install
	$(BIN)/python scripts/launch.py demo

serve: install
	@$(BIN)/python scripts/launch.py serve

# Real processes under faults from outside; docs/SOAK.md.
soak: install
	$(BIN)/python -W ignore -m tests.soak.soak --seeds "$(SEEDS)" \
		--fresh $(FRESH) --seconds $(SOAK_SECONDS)

# Real processes that stand still; docs/SOAK.md.
silence: install
	$(BIN)/python -W ignore -m tests.silence.run \
		--seeds "$(SILENCE_SEEDS)" --seconds $(SILENCE_SECONDS) --mode $(MODE)

# The policy against its naive version; the figures of docs/MEASUREMENTS.md.
measure: install
	$(BIN)/python -W ignore -m dandelionyoke_standins measure policy

# How news spreads at 8, 64 and 410 nodes; the figures of docs/AGREEMENT.md.
measure-spread: install
	$(BIN)/python -W ignore -m dandelionyoke_standins measure spread

# What a whole idle node costs, by the fleet's size; docs/CAPACITY.md.
measure-nodes: install
	$(BIN)/python -W ignore -m dandelionyoke_standins measure nodes

# What one entry process passes on; the figures of docs/CAPACITY.md.
measure-path: install
	$(BIN)/python -W ignore scripts/measure_path.py

clean:
	rm -rf .logs $(VENV) .ci-venv .mypy_cache .ruff_cache
