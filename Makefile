PYTHON ?= python3
VENV ?= $(HOME)/.cache/peridotbend/venv
BIN = $(VENV)/bin
SEED ?= 1
STEPS ?= 3000
SEEDS ?= 3
MINUTES ?= 1
FAULTS ?=
OUTPUT ?=
OTHER_BUILD ?=

.PHONY: setup demo test lint format fuzz model mutants replay measure cost capacity soak

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.lock
	$(BIN)/pip install --quiet --no-deps -e .
	touch $@

demo: setup
	$(BIN)/python -m peridotbend_emulator.demo

test: setup
	$(BIN)/python -m nose2

lint: setup
	$(BIN)/pyink --check --quiet src tests tools model deploy
	$(BIN)/ruff check src tests tools model deploy
	$(BIN)/mypy

format: setup
	$(BIN)/ruff check --fix --quiet src tests tools model deploy
	$(BIN)/pyink --quiet src tests tools model deploy

model: setup
	$(BIN)/python -m model.identity
	$(BIN)/python -m model.edge

# Takes several minutes; `make mutants NAMES=order-sent-again` tests one mutant.
mutants: setup
	$(BIN)/python tools/mutants.py $(NAMES)

fuzz: setup
	$(BIN)/python -m tests.fuzz --seed $(SEED) --steps $(STEPS)

# `make soak FAULTS="inplace break=0.3"` plays only these faults; the fault
# `builds` needs the folder of the packages of another build in OTHER_BUILD.
soak: setup
	$(BIN)/python -m peridotbend_emulator.soak --seed $(SEED) \
		--minutes $(MINUTES) --faults "$(FAULTS)" \
		$(if $(OUTPUT),--output "$(OUTPUT)") \
		$(if $(OTHER_BUILD),--other-build "$(OTHER_BUILD)")

# Takes two minutes, and less with `ARGS="--pattern bursts --details"`.
replay: setup
	$(BIN)/python -m peridotbend_emulator.replay $(ARGS)

measure: setup
	$(BIN)/python -m peridotbend_emulator.measure --seed $(SEED) --seeds $(SEEDS)

# Takes about 12 minutes; `make cost PARTS=relay` measures only the part `relay`.
cost: setup
	$(BIN)/python -m peridotbend_emulator.cost $(PARTS) \
		--output docs/slopes.json

capacity: setup
	$(BIN)/python tools/capacity.py
