MODULES := core entry lovagegapd lovagegapctl lovagegap-standin platform
PACKAGES := $(addprefix ./,$(addsuffix /...,$(MODULES)))
PROGRAMS := ./lovagegapd ./lovagegapctl ./lovagegap-standin ./platform

.PHONY: build run test check format bench soak tools

build:
	@mkdir -p bin
	go build -o bin/ $(PROGRAMS)

# Starts both example deployments. With ONCE=1 it sends queries, prints the answers and
# latency histograms, and stops.
run: build
	bash scripts/run.sh

test:
	bash scripts/test.sh $(PACKAGES)

bench: build
	bash scripts/bench.sh

# Runs the soak test with injected faults against real daemons; docs/SOAK.md explains
# the variables.
soak:
	SOAK_SEEDS=$${SOAK_SEEDS:-50} SOAK_FIRST=$${SOAK_FIRST:-1} go test ./platform -run TestSoak -count=1 -v -timeout 30m

format:
	gofmt -w $(MODULES)

tools: bin/staticcheck bin/revive

bin/staticcheck: tools/go.mod tools/go.sum
	@mkdir -p bin
	GOWORK=off go build -C tools -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck

bin/revive: tools/go.mod tools/go.sum
	@mkdir -p bin
	GOWORK=off go build -C tools -o ../bin/revive github.com/mgechev/revive

check: tools
	@unformatted=$$(gofmt -l $(MODULES)); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet $(PACKAGES)
	bin/staticcheck $(PACKAGES)
	bin/revive -config revive.toml -set_exit_status $(PACKAGES)
