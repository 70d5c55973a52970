.PHONY: build test race demo bench capacity faults soak lint format generate tools
LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
# Renames a symbol and all its uses: go run $(GOPLS) rename -w FILE:LINE:COLUMN NAME
GOPLS := golang.org/x/tools/gopls@v0.23.0

build:
	go build -o build/acaciavane .

# TESTFLAGS are further flags of go test.
TESTFLAGS ?=
test:
	go vet ./...
	go test $(TESTFLAGS) -count=1 -p 1 -timeout 20m ./...

race:
	go test $(TESTFLAGS) -count=1 -race -timeout 20m ./core/... ./io/... ./cli/... ./platform/...

demo:
	go run ./standin/demo

bench:
	go run ./standin/bench

capacity:
	go run ./standin/capacity

faults:
	go run ./standin/faults

# SEED is the first seed of the soak test and SEEDS the number of seeds. A seed takes 14 s.
SEED ?= 1
SEEDS ?= 50
soak:
	go test -count=1 -timeout 60m -run TestSoak -v ./platform -args -soak.seed=$(SEED) -soak.seeds=$(SEEDS)

lint:
	go run $(LINT) run ./...

format:
	gofmt -w .

generate:
	protoc --go_out=. --go_opt=module=acaciavane --go-grpc_out=. --go-grpc_opt=module=acaciavane io/peer/peerpb/peer.proto

# Downloads and builds the linter and gopls, so that later runs use the module and build
# caches.
tools:
	go run $(LINT) version
	go run $(GOPLS) version
