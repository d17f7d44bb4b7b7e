# Builds, checks and shows pistachiodrift. VARIANT=asan builds with sanitizers.
#
#   make            build the programs
#   make check      build and run every test
#   make demo       start a small fleet on loopback and use it
#   make lint       formatter and linter
VARIANT ?= release
B := build/$(VARIANT)
GATEWAY_PACKAGES := glib-2.0 libuv jansson msgpack libxxhash
PACKAGES := $(GATEWAY_PACKAGES) libsodium openssl
CFLAGS_release := -O2
CFLAGS_asan := -O1 -fsanitize=address,undefined -fno-omit-frame-pointer \
	-fno-sanitize-recover=undefined
WARNINGS := -Wall -Wextra -Werror -Wshadow
# pkg_config OPTION,PACKAGES: what pkg-config prints; a missing package stops
# make with its name.
pkg_config = $(shell pkg-config $1 $2)$(if $(filter 0,$(.SHELLSTATUS)),,$(error \
	$(shell pkg-config --exists --print-errors --short-errors \
	--errors-to-stdout $2)))
# once NAME,OPTION,PACKAGES: expanded at first use, as targets that compile
# nothing need no packages.
once = $(eval $1 := $(call pkg_config,$2,$3))$($1)
PACKAGES_CPPFLAGS = $(call once,PACKAGES_CPPFLAGS,--cflags,$(PACKAGES))
PACKAGES_LIBS = $(call once,PACKAGES_LIBS,--libs,$(PACKAGES))
GATEWAY_CPPFLAGS = $(call once,GATEWAY_CPPFLAGS,--cflags,$(GATEWAY_PACKAGES))
GATEWAY_LIBS = $(call once,GATEWAY_LIBS,--libs,$(GATEWAY_PACKAGES))
LIBRARY_CPPFLAGS = $(PACKAGES_CPPFLAGS)
CPPFLAGS = -I. -D_GNU_SOURCE $(LIBRARY_CPPFLAGS)
CFLAGS := -std=gnu11 -g $(WARNINGS) -Wstrict-prototypes \
	-Wmissing-prototypes $(CFLAGS_$(VARIANT))
CXXFLAGS := -std=c++17 -g $(WARNINGS) $(CFLAGS_$(VARIANT))
LDLIBS = -lh2o -lhttp_parser $(PACKAGES_LIBS)

CORE := $(patsubst %.c,$(B)/%.o,$(wildcard core/*.c core/*/*.c))
ADAPTERS := $(patsubst %.c,$(B)/%.o,$(wildcard adapters/*.c)) \
	$(B)/adapters/toml_reader.o
# The gateway, with what it takes of the rest; it needs fewer libraries.
GATEWAY := $(patsubst %.c,$(B)/%.o,$(wildcard adapters/http1/*.c \
	adapters/gateway/*.c platform/*.c) adapters/frame_link.c \
	adapters/json.c adapters/json_shared.c adapters/log_buffer.c adapters/log_glib.c \
	adapters/metrics.c adapters/msgpack_check.c adapters/msgpack_fields.c adapters/msgpack_write.c \
	adapters/setting_table.c) \
	$(B)/adapters/toml_reader.o
GATEWAY_MAIN := $(B)/programs/pistachio_gateway.o $(B)/programs/options.o
# Only the packages of deploy/system.toml are there when the platform builds.
$(CORE) $(GATEWAY) $(GATEWAY_MAIN): LIBRARY_CPPFLAGS = $(GATEWAY_CPPFLAGS)
CTL := $(patsubst %.c,$(B)/%.o,$(wildcard ctl/*.c))
PROGRAMS := $(B)/pistachio-entry $(B)/pistachio-placer $(B)/pistachioctl \
	$(B)/pistachio-gateway
STANDINS := $(B)/standin-platform $(B)/standin-engine $(B)/standin-service
UNIT_TESTS := $(patsubst tests/unit/%.c,$(B)/unit/%,\
	$(wildcard tests/unit/test_*.c))
PROPERTY_TESTS := $(patsubst tests/property/%.cc,$(B)/property/%,\
	$(wildcard tests/property/test_*.cc))
PROCESS_TESTS := $(patsubst tests/process/%.c,$(B)/process/%,\
	$(wildcard tests/process/test_*.c)) \
	$(patsubst tests/guarantees/%.c,$(B)/guarantees/%,\
	$(wildcard tests/guarantees/test_*.c))
DRIVE := $(B)/tests/harness/drive.o
HARNESS := $(patsubst %.c,$(B)/%.o,$(wildcard tests/harness/*.c))
BENCHES := $(patsubst bench/%.c,$(B)/bench/%,$(wildcard bench/bench_*.c))
BENCH_PARTS := $(patsubst %.c,$(B)/%.o,\
	$(filter-out $(wildcard bench/bench_*.c),$(wildcard bench/*.c)))

all: $(PROGRAMS) $(STANDINS)

$(B)/libpistachio-core.a: $(CORE)
	@rm -f $@ && ar rcs $@ $^

$(B)/libpistachio-adapters.a: $(ADAPTERS)
	@rm -f $@ && ar rcs $@ $^

$(B)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC  $<"
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -c -o $@ $<

$(B)/%.o: %.cc
	@mkdir -p $(@D)
	@echo "  CXX $<"
	@$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -c -o $@ $<

LIBS := $(B)/libpistachio-adapters.a $(B)/libpistachio-gateway.a \
	$(B)/libpistachio-core.a
LINK = @echo "  LD  $@"; $(CXX) $(CFLAGS_$(VARIANT)) -o $@

$(B)/libpistachio-gateway.a: $(GATEWAY)
	@rm -f $@ && ar rcs $@ $^

# Only the gateway; this is what the platform builds.
gateway: $(B)/pistachio-gateway

$(B)/pistachio-gateway: $(GATEWAY_MAIN) \
		$(B)/libpistachio-gateway.a $(B)/libpistachio-core.a
	$(LINK) $^ -lhttp_parser $(GATEWAY_LIBS)

$(B)/pistachio-%: $(B)/programs/pistachio_%.o $(B)/programs/cli.o \
		$(B)/programs/options.o $(LIBS)
	$(LINK) $^ $(LDLIBS)

$(B)/pistachioctl: $(B)/programs/pistachioctl.o $(B)/programs/options.o $(CTL) \
		$(LIBS)
	$(LINK) $^ $(LDLIBS)

$(B)/standin-%: $(B)/tests/standins/standin_%.o \
		$(B)/tests/standins/standin.o $(LIBS)
	$(LINK) $^ $(LDLIBS)

$(B)/unit/%: $(B)/tests/unit/%.o $(DRIVE) $(LIBS)
	@mkdir -p $(@D)
	$(LINK) $^ -lcmocka $(LDLIBS)

$(B)/property/%: $(B)/tests/property/%.o $(DRIVE) $(LIBS)
	@mkdir -p $(@D)
	$(LINK) $^ -lrapidcheck $(LDLIBS)

$(B)/process/%: $(B)/tests/process/%.o $(HARNESS) $(LIBS)
	@mkdir -p $(@D)
	$(LINK) $^ -lcmocka $(LDLIBS)

$(B)/guarantees/%: $(B)/tests/guarantees/%.o $(HARNESS) $(LIBS)
	@mkdir -p $(@D)
	$(LINK) $^ -lcmocka $(LDLIBS)

$(B)/bench/%: $(B)/bench/%.o $(BENCH_PARTS) $(HARNESS) $(LIBS)
	@mkdir -p $(@D)
	$(LINK) $^ -lcmocka $(LDLIBS) -lm

$(B)/capacity: $(B)/bench/capacity/capacity.o $(HARNESS) $(LIBS)
	$(LINK) $^ -lcmocka $(LDLIBS) -lm

# Random failures over many seeds: make soak SEEDS=100.
soak: all $(B)/guarantees/test_soak
	B=$(B) SEEDS=$(SEEDS) $(B)/guarantees/test_soak

# The same for gateways: make gateway-soak SEEDS=50 FIRST_SEED=1.
gateway-soak: all $(B)/guarantees/test_gateway_soak
	B=$(B) SEEDS=$(SEEDS) FIRST_SEED=$(FIRST_SEED) \
		$(B)/guarantees/test_gateway_soak

# Measures the slopes that docs/CAPACITY.md is worked out from.
capacity: all $(B)/capacity
	B=$(B) $(B)/capacity

tests: all $(UNIT_TESTS) $(PROPERTY_TESTS) $(PROCESS_TESTS)

check: tests core-symbols
	B=$(B) tools/run-tests $(UNIT_TESTS) $(PROPERTY_TESTS) $(PROCESS_TESTS)

# The core decides and does no I/O; a symbol of an I/O library there is a leak.
core-symbols: $(B)/libpistachio-core.a
	tools/check-core-symbols $<

demo:
	tools/demo

lint: format-check tidy

SOURCES = $(shell git ls-files -co --exclude-standard \
	'*.c' '*.h' '*.cc' 2>/dev/null)
C_SOURCES = $(filter %.c,$(SOURCES))

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run --Werror $(SOURCES)

tidy:
	printf '%s\n' $(C_SOURCES) | xargs -P 8 -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- -std=gnu11 $(CPPFLAGS)' tidy

bench: all $(BENCHES)
	B=$(B) tools/run-bench $(BENCHES)

clean:
	rm -rf build

.PHONY: all gateway gateway-soak tests capacity soak check core-symbols demo lint format format-check tidy \
	bench clean
.SECONDARY:
-include $(shell find build $(B) -name '*.d' 2>/dev/null)
