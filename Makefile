# Targets: demo and test are all a fresh machine needs.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint format proto proofs measure

demo: $(STAMP)
	$(PYTHON) -m demo

test: $(STAMP)
	$(PYTHON) -m pytest -n auto

# Takes each mechanism out of a copy; its tests must fail.
proofs: $(STAMP)
	$(PYTHON) -m proofs

lint: $(STAMP)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

format: $(STAMP)
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

proto: $(STAMP)
	$(PYTHON) -m grpc_tools.protoc -Isrc --python_out=src --pyi_out=src src/pepperstep/proto/*.proto

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@
