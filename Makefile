# The commands listed in the README. Each installs the packages that it needs.
BUILD ?= build
JOBS ?= 5
SOURCES := $(shell git ls-files -co --exclude-standard 'src/*.h' 'src/*.cpp' 'tools/*.h' 'tools/*.cpp' 'test/*.h' 'test/*.cpp' 'apps/*.cpp' 'platform/*.h' 'platform/*.cpp')

.PHONY: setup build asan asan-test tsan cross test demo bench lint format format-check

setup:
	@bash .ci/setup

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DCICADA_CCACHE=ON >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

asan: setup
	@cmake -S . -B $(BUILD)-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCICADA_SANITIZER=address -DCICADA_CCACHE=ON >/dev/null
	@cmake --build $(BUILD)-asan -j $(JOBS)

# Runs only the tests of invalid and random input under the address sanitizer; the others take minutes there.
asan-test: setup
	@cmake -S . -B $(BUILD)-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCICADA_SANITIZER=address -DCICADA_CCACHE=ON >/dev/null
	@cmake --build $(BUILD)-asan -j $(JOBS) --target test-error
	@$(BUILD)-asan/test-error

tsan: setup
	@cmake -S . -B $(BUILD)-tsan -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCICADA_SANITIZER=thread >/dev/null
	@cmake --build $(BUILD)-tsan -j $(JOBS)

# Links the whole tree for each other architecture of .ci/architectures.
cross: setup
	@bash .ci/cross $(BUILD) $(JOBS)

test: build
	@bash .ci/known-red $(BUILD)

demo: build
	@bash apps/demo.sh $(BUILD)

bench: build
	@bash test/performance/run-all $(BUILD)

format:
	@clang-format -i $(SOURCES)

format-check: setup
	@clang-format --dry-run -Werror $(SOURCES)

# Needs the commands that compile the sources, not what they build; without the precompiled header, which is the compiler's own.
lint: setup
	@cmake -S . -B $(BUILD)-lint -G Ninja -DCICADA_PRECOMPILE=OFF >/dev/null
	@bash .ci/lint $(BUILD)-lint $(JOBS) $(filter %.cpp,$(SOURCES))
