# Shortcuts for the CMake build and the scripts.
BUILD ?= build

.PHONY: deps build test demo format lint
deps:
	scripts/install_packages.sh
build:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)
test: build
	scripts/run_tests.sh $(BUILD)
demo: deps build
	python3 scripts/demo.py sabarmati
	python3 scripts/demo.py association
format:
	scripts/check_format.sh --fix
lint: build
	scripts/check_lint.sh $(BUILD)
