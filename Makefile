# Targets for building, testing and trying basillift. Only Go and make are needed.
MESH ?= bindery
TOOLS := $(CURDIR)/.tools/bin
# The race detector needs cgo and so a C compiler.
RACE := $(shell command -v $${CC:-gcc} >/dev/null 2>&1 && echo -race)
# Tests that fail because of a fault that is recorded in KNOWN-RED.txt are named and left out.
SKIP := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
MODULES := basillift platform basilliftd basilliftctl basilliftlab

.PHONY: build demo bench capacity test lint fmt generate tools

build: ## Builds the three programs into bin/.
	go build -o bin/ ./basilliftd ./basilliftctl ./basilliftlab

demo: build ## Runs a mesh of real processes on loopback and checks the promises from the callers' side.
	bin/basilliftlab demo --mesh $(MESH) --bin bin

bench: build ## Measures convergence, control bytes, platform reads and resources; results go to out/bench/.
	bin/basilliftlab bench

capacity: build ## Writes docs/CAPACITY.md from the recorded slopes.
	bin/basilliftlab capacity > docs/CAPACITY.md.new
	mv docs/CAPACITY.md.new docs/CAPACITY.md

test: ## Runs all tests, with the race detector where it works. TestCrowds measures processes, so it runs alone.
	@[ -z "$(SKIP)" ] || echo "known red, not run: $(SKIP)"
	go test $(RACE) -timeout 5m -skip '$(if $(SKIP),$(SKIP)|)^TestCrowds$$' $(MODULES:%=./%/...)
	go test -timeout 10m -run '^TestCrowds$$' $(if $(SKIP),-skip '$(SKIP)') ./basilliftd/

lint: $(TOOLS)/golangci-lint ## Checks style with the pinned linter.
	@for m in $(MODULES); do (cd $$m && $(TOOLS)/golangci-lint run ./...) || exit 1; done

fmt: $(TOOLS)/golangci-lint ## Formats all Go files.
	@for m in $(MODULES); do (cd $$m && $(TOOLS)/golangci-lint fmt ./...) || exit 1; done

generate: ## Generates Go types from schema/; the results are committed.
	go generate ./basillift/...

tools: $(TOOLS)/golangci-lint

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
