PYTHON ?= python3
BIN := .venv/bin
STAMP := .venv/.installed

.PHONY: setup demo test model lint slopes clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: setup
	$(BIN)/bilberryshed-load demo

test: lint model features

lint: setup
	$(BIN)/black --check --quiet src features scripts
	$(BIN)/ruff check --quiet src features scripts
	$(BIN)/mypy --no-error-summary
	$(BIN)/lint-imports > /dev/null || ($(BIN)/lint-imports; exit 1)

.PHONY: features
features: setup
	mkdir -p build
	rm -f build/behave.json
	$(BIN)/behave --tags 'not @known_red' --format json --outfile build/behave.json --format progress features

model:
	scripts/model_check.sh

slopes: setup
	$(BIN)/bilberryshed-load slopes

clean:
	rm -rf .venv build
