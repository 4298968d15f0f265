PY := .venv/bin/python
STAMP := .venv/.installed

.PHONY: setup test lint demo bench

setup: $(STAMP)

$(STAMP): pyproject.toml
	python3 -m venv .venv
	$(PY) -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

lint: setup
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/flake8 src tests bench examples platform
	.venv/bin/lint-imports

test: lint
	$(PY) -m pytest

demo: setup
	$(PY) examples/demo.py

bench: setup
	$(PY) bench/relay.py
	$(PY) -m bench.resume
	$(PY) -m bench.routing
	$(PY) -m bench.scheduling
	$(PY) -m bench.placement
	$(PY) -m bench.scaling
	$(PY) -m bench.control
	$(PY) -m bench.growth
