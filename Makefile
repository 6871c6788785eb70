# Entry points for people and CI; the build itself is CMake's.

BUILD = build
SEED = 1
SECONDS = 30

.PHONY: all deps build check demo format lint fuzz clean \
	soak bench-path bench-distribution bench-requests bench-capacity

all: build

deps:
	@scripts/install-deps

build: deps
	@scripts/build $(BUILD) none

check: deps
	@scripts/check

demo: build
	@scripts/demo-platform $(BUILD)
	@scripts/demo $(BUILD)

soak: build
	@$(BUILD)/tests/relay/soak $(SEED) $(SECONDS)

format:
	@scripts/format --fix

lint: build
	@scripts/lint $(BUILD)

bench-path bench-distribution bench-requests bench-capacity: build
	@bench/$@ $(BUILD)

clean:
	rm -rf build build-*
