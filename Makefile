# Thin front of CMake. `make demo` and `make check` install what they need.
BUILD ?= build
NAME ?= all
PACKAGES = build-essential cmake ninja-build pkg-config clang-format clang-tidy curl \
	libevent-dev libzmq3-dev libcmocka-dev libmsgpack-dev libjansson-dev libxxhash-dev \
	uthash-dev libtomlplusplus-dev libsodium-dev

all: $(BUILD)/build.ninja
	cmake --build $(BUILD)

$(BUILD)/build.ninja: CMakeLists.txt
	cmake -S . -B $(BUILD) -G Ninja

deps:
	sh .ci/deps $(PACKAGES)

demo: deps all
	sh samples/demo.sh $(BUILD)

check: deps all
	sh .ci/test $(BUILD)

bench: all
	sh bench/run.sh $(BUILD) $(NAME)

format:
	git ls-files '*.c' '*.h' '*.cc' | xargs clang-format -i

clean:
	rm -rf $(BUILD)

.PHONY: all deps demo check bench format clean
