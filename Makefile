# make demo: run the demonstration on twelve nodes with stand-ins.
# make test: run the tests.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo fleet test check format generate mutants search clean

demo: $(VENV)/ready
	$(BIN)/python -m demo

fleet: $(VENV)/ready
	$(BIN)/python -m demo --stay

test: $(VENV)/ready
	$(BIN)/python tools/run_tests.py

check: $(VENV)/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .
	$(BIN)/mypy marjoramlead standins demo tools bench
	$(BIN)/python tools/generate.py --check

format: $(VENV)/ready
	$(BIN)/ruff check --select I --fix .
	$(BIN)/ruff format .

generate: $(VENV)/ready
	$(BIN)/python tools/generate.py

mutants: $(VENV)/ready
	$(BIN)/python tools/mutants.py

search: $(VENV)/ready
	mkdir -p found
	HYPOTHESIS_PROFILE=search $(BIN)/python -m pytest tests/test_agent.py tests/test_key_replicas.py tests/test_mesh.py

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

clean:
	rm -rf $(VENV) build *.egg-info
