VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := $(wildcard libs/*/ragwort_*) platform/ragwort_platform

.PHONY: demo test lint bench matrix matrix-self-test soak capacity format clean

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/ragwortworks demo

test: $(STAMP)
	$(BIN)/python -m features.run

lint: $(STAMP)
	$(BIN)/ruff format --check libs features platform
	$(BIN)/flake8 libs features platform
	$(BIN)/mypy $(PACKAGES)

bench: $(STAMP)
	$(BIN)/python -m ragwort_lab bench

matrix: $(STAMP)
	$(BIN)/python -m ragwort_lab matrix

matrix-self-test: $(STAMP)
	$(BIN)/python -m ragwort_lab matrix-self-test

soak: $(STAMP)
	$(BIN)/python -m features.soak.series --kept --minutes 5

capacity: $(STAMP)
	$(BIN)/python -m ragwort_lab capacity

format: $(STAMP)
	$(BIN)/ruff format libs features platform

clean:
	rm -rf $(VENV) build
