# Entry points for people and CI; the build itself is CMake's.

BUILD = build

.PHONY: all deps build check demo format lint fuzz clean \
	bench-path bench-distribution bench-requests bench-capacity

all: build

deps:
	@scripts/install-deps

build: deps
	@scripts/build $(BUILD) none

check: deps
	@scripts/check

demo: build
	@scripts/demo $(BUILD)

format:
	@scripts/format --fix

lint: build
	@scripts/lint $(BUILD)

bench-path bench-distribution bench-requests bench-capacity: build
	@bench/$@ $(BUILD)

clean:
	rm -rf build build-*
