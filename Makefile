# VENV may name an environment that is shared between work trees.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
SOURCES := $(wildcard packages/*/src) platform/src
space := $(subst ,, )
export PYTHONPATH := $(subst $(space),:,$(SOURCES)):$(CURDIR)
export PYTHONHASHSEED := 0

.PHONY: setup test unit format lint check demo lock

setup: $(VENV)/.ready

$(VENV)/.ready: requirements/dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements/dev.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps $(foreach p,$(wildcard packages/*),-e $(p))
	touch $@

# Set up everything, then run every test.
test: setup
	$(PYTHON) -m tests

format: setup
	$(VENV)/bin/ruff format .

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

check: lint test

# Run a small site of both programs, then the entry on the platform's path.
demo: setup
	$(PYTHON) -m bench.demo
	$(PYTHON) -m bench.demo_direct

lock: setup
	cd requirements && for name in platform runtime dev; do \
	  ../$(VENV)/bin/pip-compile --quiet --generate-hashes --allow-unsafe \
	    --no-emit-index-url --no-emit-find-links --no-emit-trusted-host \
	    --no-header --no-annotate --strip-extras -o $$name.txt $$name.in; done

# Break real entries from outside, by seeds; FIRST and SEEDS choose them.
FIRST ?= 1
SEEDS ?= 6
.PHONY: soak
soak: setup
	$(PYTHON) -m soak --first $(FIRST) --seeds $(SEEDS) --jobs 3
