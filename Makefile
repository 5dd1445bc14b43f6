BUILD ?= build
JOBS ?= $(shell nproc)
CPP_FILES = $(shell git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
TIDY_FILES = $(filter %.cpp,$(CPP_FILES))

.PHONY: deps build test run bench slopes asan tsan format format-check lint proto fault-matrix mutations

deps:
	.ci/install

build: deps
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

# Tests listed in KNOWN-RED.txt are printed and passed over.
test: build
	@sed -n 's/^test: /known red, passed over: /p' KNOWN-RED.txt
	ctest --test-dir $(BUILD) --output-on-failure -j 4 \
	  -E "^($$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|' | sed 's/\./\\./g'))$$"

run: build
	$(BUILD)/parsleypitch-bench up --fleet bench/fleets/cymdeithas.toml --seconds 15
	$(BUILD)/parsleypitch-bench up --fleet bench/fleets/tanzania.toml --seconds 15

bench: build
	mkdir -p $(BUILD)/bench
	for file in bench/scenarios/*.toml; do \
	  $(BUILD)/parsleypitch-bench run --scenario $$file --seed 1 \
	    --out $(BUILD)/bench/$$(basename $$file .toml).json || exit 1; \
	done

# Measures the costs of control work and rewrites the marked part of docs/CAPACITY.md.
slopes: build
	$(BUILD)/parsleypitch-bench slopes --out $(BUILD)/slopes.json --page docs/CAPACITY.md

asan: deps
	cmake -S . -B build-asan -G Ninja -DPARSLEYPITCH_SANITIZER=address
	cmake --build build-asan -j $(JOBS)
	ctest --test-dir build-asan --output-on-failure -j 4

tsan: deps
	cmake -S . -B build-tsan -G Ninja -DPARSLEYPITCH_SANITIZER=thread
	cmake --build build-tsan -j $(JOBS)
	ctest --test-dir build-tsan --output-on-failure -j 4

format:
	clang-format -i $(CPP_FILES)

format-check:
	clang-format --dry-run --Werror $(CPP_FILES)

lint: build
	JOBS=$(JOBS) .ci/lint $(BUILD) $(TIDY_FILES)

# Regenerates the committed protobuf code after a change of proto/parsleypitch.proto.
proto: deps
	protoc -I proto --cpp_out=generated --grpc_out=generated \
	  --plugin=protoc-gen-grpc=$(shell command -v grpc_cpp_plugin) proto/parsleypitch.proto

# Rewrites docs/fault-matrix.md from the table in tests/fault_matrix.hpp.
fault-matrix: build
	PARSLEYPITCH_WRITE_FAULT_MATRIX=1 $(BUILD)/parsleypitch_tests --gtest_brief=1 \
	  --gtest_filter='fault_table_fixture.committed_page_is_the_generated_one'

# Breaks one guard after the other in a scratch copy and expects red cells in the matrix.
mutations:
	tests/mutation_check.sh
