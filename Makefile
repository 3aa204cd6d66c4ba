BUILD_DIR ?= build

.PHONY: packages build demo check unit integration format lint bench proof

packages:
	scripts/install-packages

build: packages
	cmake -S . -B $(BUILD_DIR) -G Ninja >/dev/null
	cmake --build $(BUILD_DIR)

demo: build
	$(BUILD_DIR)/wagtailrack-testbed demo --binaries $(BUILD_DIR)

# Formatter, linter, unit tests and the integration tests of CI.
check: build
	scripts/check-format
	scripts/check-lint $(BUILD_DIR)
	scripts/run-tests $(BUILD_DIR)

# The scenarios of docs/PROOF.md, with their names.
proof: build
	$(BUILD_DIR)/tests/integration-tests -sg Scenario -v
