# The front door: make run, make test, make properties, make lint, make bench, make quarantine, make cooldowns, make limits, make upgrade, make soak, make compare, make fuzz, make gopls, make generate.

BIN := $(CURDIR)/bin
TOOLS := $(CURDIR)/.tools
GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)
GOPLS_VERSION := v0.23.0
GOPLS := $(TOOLS)/gopls-$(GOPLS_VERSION)
FUZZTIME ?= 20s

.PHONY: all build run test race properties lint bench quarantine cooldowns limits upgrade soak compare fuzz gopls generate clean

all: build

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/...

run: build
	$(BIN)/troutmast-demo

# Passes over the failures listed in KNOWN-RED.txt, and fails for any other and for a listed test that passes.
test:
	go run ./internal/knownred/check ./...

race:
	go test -race ./...

# The properties over cases drawn anew; make test draws the same ones every time.
properties:
	go test -count=1 $$(git grep -l fixedseed -- '*_test.go' | xargs -n1 dirname | sort -u | sed 's,^,./,') -rapid.seed=0 -rapid.checks=500

lint: $(GOLANGCI)
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); echo "not formatted"; exit 1; }
	go vet ./...
	$(GOLANGCI) run ./...

$(GOLANGCI):
	@mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/golangci-lint $(GOLANGCI)

# The language server, whose rename command follows every use of an identifier.
gopls: $(GOPLS)

$(GOPLS):
	@mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(TOOLS)/gopls $(GOPLS)

bench:
	go test -run '^$$' -bench . -benchmem ./...

# What a request that ends instances costs with and without the quarantine, in drawn histories of 9 and 85 nodes.
quarantine:
	go test ./coordination/quarantine -run '^$$' -bench 'Histories|Judge' -benchtime 6x

# Ways of heeding the cooldowns that instances ask for, in histories of 9 and 85 nodes.
cooldowns:
	go test ./coordination/cooldown -run '^$$' -bench Heeding -benchtime 8x

# Ways to divide what a limited instance takes over 9 and 85 nodes, and what that costs at 85 and 570.
limits:
	go test ./coordination/ratelimit -run '^$$' -bench 'Ways|AtSize' -benchtime 8x

# Replaces the nodes of one build by those of the working tree, and back, in processes: make upgrade FROM=COMMIT SEEDS=30.
UPGRADE_JOBS ?= 4
upgrade:
	go run ./bench/upgrade --from "$(FROM)" --seeds $(SEEDS) --first-seed $(FIRST) --jobs $(UPGRADE_JOBS)

# Restarts nodes of the working tree one at a time, beside all troubles of the harness and harmed connections; odd seeds also evacuate halls and start instances cold: make soak SEEDS=50.
soak:
	go run ./bench/upgrade --from work --to work --soak --seeds $(SEEDS) --first-seed $(FIRST) --jobs $(UPGRADE_JOBS)

# Plays the same days and seeds for two variants: make compare BENCH=... SITE=... A=HEAD B=work,gateway-full=0.7 WHY="..."
A ?= HEAD
B ?= work
DAYS ?= trouble-1,scale-1,trouble-2,scale-2,trouble-3
SEEDS ?= 8
FIRST ?= 1
JOBS ?= 7
compare:
	@go run ./bench/compare --bench "$(BENCH)" --site "$(SITE)" --from "$(A)" --to "$(B)" --days "$(DAYS)" --seeds $(SEEDS) --first-seed $(FIRST) --jobs $(JOBS) --why "$(WHY)" --cache "$(CACHE)"

fuzz:
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./protocol/lang
	go test -run '^$$' -fuzz FuzzDecodeRecord -fuzztime $(FUZZTIME) ./state
	go test -run '^$$' -fuzz FuzzDecodeReport -fuzztime $(FUZZTIME) ./protocol/target
	go test -run '^$$' -fuzz FuzzInstance -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz FuzzCatalog -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz FuzzResponse -fuzztime $(FUZZTIME) ./protocol/direct
	for f in FuzzStatusReport FuzzStatusAnswer FuzzNodeEntry FuzzKeptQuarantine; do go test -run '^$$' -fuzz "^$$f\$$" -fuzztime $(FUZZTIME) ./transport/entry || exit 1; done

# The generated code in protocol/rpc is committed; this is needed only after a change of the .proto file.
generate:
	GOBIN=$(TOOLS) go install github.com/bufbuild/buf/cmd/buf@v1.75.0
	GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	GOBIN=$(TOOLS) go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.19.2
	PATH=$(TOOLS):$$PATH buf generate

clean:
	rm -rf $(BIN) $(TOOLS)
