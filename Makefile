# Sets up .venv from poetry.lock and runs the project's commands.
POETRY_VERSION = 2.5.1
POETRY = .tools/bin/poetry
BIN = .venv/bin
export POETRY_VIRTUALENVS_IN_PROJECT = true
export POETRY_VIRTUALENVS_CREATE = true

.PHONY: setup demo test lint types unit fuzz soak binary proto clean \
	measure-requests measure-path measure-rollouts measure-control

setup: .venv/.complete

.tools/bin/poetry:
	python3 -m venv .tools
	.tools/bin/pip install --quiet "poetry==$(POETRY_VERSION)"

.venv/.complete: pyproject.toml poetry.lock | .tools/bin/poetry
	python3 -m venv .venv
	$(POETRY) install --no-interaction --quiet
	touch .venv/.complete

demo: setup
	$(BIN)/dogwoodpost demo

test: lint types binary unit

lint: setup
	$(BIN)/ruff format --check src tests measurements
	$(BIN)/ruff check src tests measurements
	$(BIN)/flake8 src tests measurements

types: setup
	$(BIN)/mypy

unit: setup
	$(BIN)/pytest -n 4

fuzz: setup
	HYPOTHESIS_PROFILE=fuzz $(BIN)/pytest -m fuzz

# One soak: make soak SEED=7
SEED ?= 1
soak: setup
	$(BIN)/python -m tests.soak --seed $(SEED)

binary: dist/dogwoodpost

dist/dogwoodpost: .venv/.complete $(shell find src -name '*.py')
	mkdir -p dist
	$(BIN)/pex . --sh-boot --venv --script dogwoodpost \
		--output-file dist/dogwoodpost

proto: setup
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc --proto_path=src \
		--python_out=src --pyi_out=src --grpclib_python_out=src \
		src/dogwoodpost/admin/dogwoodpost_admin.proto

measure-requests measure-path measure-rollouts measure-control: setup
	$(BIN)/python -m measurements.$(subst -,_,$@)

clean:
	rm -rf .venv .tools dist
