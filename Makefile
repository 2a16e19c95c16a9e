# Every target works on a freshly installed host with Go, GNU Make and apt.
SHELL := /bin/bash
.SHELLFLAGS := -eu -o pipefail -c
export CGO_ENABLED := 1

MODULES := . ./core ./standin ./bench
PACKAGES := ./... ./core/... ./standin/... ./bench/...
# Tests listed in KNOWN-RED.txt are skipped; make test prints them.
RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
SKIP := $(if $(RED),-skip '^($(RED))$$')
# netcgo makes the programs resolve host names with the C library, like other programs.
TAGS := -tags netcgo

.PHONY: rename-tool deploy-check ledger soak-forward names build demo test unit lint tidy generate apt-tools modelcheck measure capacity load faults fuzz soak

build:
	go build $(TAGS) -o bin/ ./cmd/... ./standin/cmd/... ./bench/cmd/...

demo: build
	./bin/demo $(if $(KEEP),--keep)

load: build
	./bin/load

# soak-forward runs forwarding entries against the platform's stand-ins under faults,
# for SEEDS seeds starting at SEED. soak runs the whole system on loopback under load
# with faults drawn from SEED; it takes about 60 s.
soak-forward: build
	./bin/forwardsoak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),50)

soak: build
	./bin/soak --seed $(or $(SEED),1)

# Runs all checks of CI.
test: lint unit modelcheck
	$(MAKE) demo
	./bin/forwardsoak --seeds 3 --at-once 3 --seconds 12
	@if [ -n "$(RED)" ]; then echo "passed over, see KNOWN-RED.txt: $(RED)"; fi

unit: build
	go test -race $(TAGS) $(SKIP) $(PACKAGES)

lint: generate names deploy-check
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); echo 'run gofmt -w on these files'; exit 1; }
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

# Checks the files that the platform uses to deploy the system.
deploy-check:
	go run ./bench/cmd/deploycheck

# Names that are specific to the users' platform may only occur in platform/.
PLATFORM_NAMES := X-Server-Seal|Server-Limit|Server-Leaving|X-Kv-|Kv-From|X-Expect-(Instance|Version)|X-Prompt-Prefix|X-Token-Count|X-Cache-Salt|X-Tenant|X-Not-Run|X-Weight-Versions|X-Instance-Id|X-Request-Priority|X-Deadline-Ms|/kv-|/log-(append|read|newest|join|leave|commit|owners|trim)|keyed\.(op|servers|status)|pathPrefix|kvCapacityTokens|kvTokenBytes|coldLeftMs|switchMode|nodeName|machineClass
names:
	@! git grep -nE '$(PLATFORM_NAMES)' -- '*.go' ':!platform/' || { echo 'move these names to platform/'; exit 1; }

# Fails if the committed generated code does not match the protobuf definitions.
generate: apt-tools
	mkdir -p .cache/gen
	go build -o .cache/gen/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH=$$PWD/.cache/gen:$$PATH protoc --go_out=.cache/gen --go_opt=module=github.com/galenaweir/galenaweir \
	  --go-grpc_out=.cache/gen --go-grpc_opt=module=github.com/galenaweir/galenaweir rpc/galenaweir.proto
	@for f in .cache/gen/rpc/*.go; do cmp $$f rpc/$$(basename $$f) || { echo "copy .cache/gen/rpc/*.go to rpc/ and commit them"; exit 1; }; done

# Replays the traces, writes docs/measurements and prints the table of results.
measure:
	go run ./bench/cmd/measure --out docs/measurements

# Measures how costs grow with size; writes docs/CAPACITY.md and
# docs/measurements/capacity.json.
capacity: build
	./bin/capacity --root .

# Compares two runs of the users' benchmark: make ledger BEFORE=id AFTER=id.
ledger:
	@go run ./bench/cmd/ledger $(BEFORE) $(AFTER)

tidy:
	@for m in $(MODULES); do (cd $$m && GOWORK=off go mod tidy); done

apt-tools:
	@command -v protoc >/dev/null && command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq protobuf-compiler spin; }

# Installs gopls, which renames identifiers across all modules.
rename-tool:
	go install golang.org/x/tools/gopls@v0.23.0

# Runs the claim protocol under random faults. The same SEED reproduces a run exactly.
FAULT_RUNS ?= 10000
faults:
	go test ./core/claims -run TestFaults -count=1 -v -rapid.checks=$(FAULT_RUNS) -rapid.seed=$(or $(SEED),1)

# Exhaustively checks the models in spec/ and their mutants.
modelcheck: apt-tools
	spec/run.sh

# The limit is a number of executions: with a duration, go test may report its own
# deadline as a failure.
FUZZ_TIME ?= 20000x
# Searches for new failing inputs. The seed corpora already run with the tests.
fuzz:
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZ_TIME) ./settings
	go test -run '^$$' -fuzz FuzzDocument -fuzztime $(FUZZ_TIME) ./core/config
	go test -run '^$$' -fuzz FuzzParseFrame -fuzztime $(FUZZ_TIME) ./protocol/streaming
	go test -run '^$$' -fuzz FuzzParseCompletion -fuzztime $(FUZZ_TIME) ./entry
	for f in FuzzRecords FuzzHeaders FuzzReply FuzzDocuments FuzzEndpoint FuzzEngineAnswers FuzzNamingRecord FuzzPartRecord FuzzStatements; do go test -run '^$$' -fuzz "^$$f$$" -fuzztime $(FUZZ_TIME) ./platform || exit 1; done
	for f in FuzzEvents FuzzPeerReport FuzzFacts FuzzStoreNews FuzzSettings FuzzEndpointAnswer; do go test -run '^$$' -fuzz "^$$f$$" -fuzztime $(FUZZ_TIME) ./gateway || exit 1; done
	go test -run '^$$' -fuzz FuzzChecker -fuzztime $(FUZZ_TIME) ./core/stream
