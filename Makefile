# Every target sets up what it needs in .venv on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := $(wildcard packages/*) platform

.PHONY: setup demo test test-processes lint bench soak soak-restore soak-parts soak-platform generate

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt setuptools wheel
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation \
		$(foreach p,$(PACKAGES),-e $(p))
	touch $(STAMP)

demo: setup
	$(BIN)/python -m standins.demo

test: setup
	$(BIN)/python -m features.run

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

bench: setup
	$(BIN)/python -m bench.run

soak: setup
	$(BIN)/python -m standins.soak --minutes $(or $(MINUTES),2) --seed $(or $(SEED),1)

soak-restore: setup
	$(BIN)/python -m standins.soak_restore --seeds $(or $(SEEDS),5) --seed $(or $(SEED),1)

soak-parts: setup
	$(BIN)/python -m standins.soak_parts --seeds $(or $(SEEDS),5) --seed $(or $(SEED),1)

soak-platform: setup
	$(BIN)/python -m standins.soak_platform --seeds $(or $(SEEDS),5) --seed $(or $(SEED),1)

# Needs the thrift compiler; its output is committed.
generate:
	cd packages/reelscale-wire && thrift -r --gen py:twisted -out src reelscale.thrift
	rm -f packages/reelscale-wire/src/reelscale_wire/gen/Peer-remote packages/reelscale-wire/src/__init__.py
