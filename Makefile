# Two commands do all set-up on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/rookspring-core packages/rookspring packages/rookspring-ctl packages/rookspring-fakes platform
STAMP := $(VENV)/.installed

.PHONY: demo test bench check format wheels lock soak soak-processes

$(STAMP): requirements/develop.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements/develop.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/rookspring demo $(ARGS)

check: $(STAMP)
	$(BIN)/ruff format --check packages platform features bench
	$(BIN)/ruff check packages platform features bench
	$(BIN)/mypy packages/rookspring-core/src packages/rookspring/src packages/rookspring-fakes/src packages/rookspring-ctl/src platform/src

test: check
	$(BIN)/python features/run.py $(ARGS)

bench: $(STAMP)
	$(BIN)/python -m bench $(B) $(ARGS)

soak-processes: $(STAMP)
	$(BIN)/python -m bench processes --seconds $(or $(SECONDS),30) --seed $(or $(SEED),1) $(ARGS)

soak: $(STAMP)
	$(BIN)/python -m bench soak --seconds $(or $(SECONDS),600) $(if $(SEED),--seed $(SEED),) $(ARGS)

format: $(STAMP)
	$(BIN)/ruff format packages platform features bench
	$(BIN)/ruff check --fix packages platform features bench

wheels: $(STAMP)
	for p in $(PACKAGES); do $(BIN)/python -m build --no-isolation --wheel --outdir dist $$p; done

lock:
	uv pip compile -q --generate-hashes --no-header --no-annotate --python-version 3.11 requirements/develop.in -o requirements/develop.txt
	uv pip compile -q --generate-hashes --no-header --no-annotate --python-version 3.11 requirements/runtime.in -c requirements/develop.txt -o requirements/runtime.txt
	uv pip compile -q --generate-hashes --no-header --no-annotate --python-version 3.11 requirements/relay.in -c requirements/develop.txt -o requirements/relay.txt
