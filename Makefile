# make demo and make test are the two commands of the README.

GOFUMPT = go run mvdan.cc/gofumpt@v0.12.0
REVIVE = go run github.com/mgechev/revive@v1.17.0
GOPLS = go run golang.org/x/tools/gopls@v0.23.0

.PHONY: build test race lint format rename generate demo bench large-bodies added model capacity faults kill soak spread

build:
	go build -o bin/ ./cmd/...

# SKIP is a pattern of tests to skip; CI sets it to the tests in KNOWN-RED.txt.
test:
	go test $(if $(SKIP),-skip '$(SKIP)') ./...

# race runs the tests of packages whose tasks share state with the race detector. It
# leaves out messenger and tracker, whose tests crash the detector itself on arm64.
race:
	go test -race ./internal/acceptor ./internal/dispatcher ./internal/launcher ./internal/logger \
		./internal/quarantiner ./internal/recorder ./internal/sender ./internal/verifier

# demo runs the whole system on loopback for a few seconds and checks every response.
demo:
	scripts/demo.sh

# added measures the latency that an entry host adds to a call; run it on an idle machine.
added:
	scripts/added.sh

# large-bodies sends bodies of 200 MB and checks the daemon's memory growth.
large-bodies:
	scripts/large-bodies.sh

# bench compares routing policies in under 10 minutes and writes out/bench.json.
bench:
	scripts/bench.sh

# model checks the specifications under model/ and prints the state counts; it
# needs spin (Debian's package) and a C compiler.
model:
	model/check.sh

# capacity measures the resource usage of an entry host and prints slopes for
# docs/CAPACITY.md.
capacity:
	scripts/capacity.sh

# faults injects faults into a fleet on loopback and counts violations.
faults:
	scripts/faults.sh

# spread measures how long a change takes to be in force on every entry host.
spread:
	scripts/spread.sh

# soak injects faults into fleets of real gateways, by random plans from SEEDS, and
# checks the results seen by callers and endpoints.
soak:
	scripts/soak.sh

# kill kills a process of each kind under load and checks the guarantees.
kill:
	scripts/kill.sh

# lint fails on files that gofumpt would change and on findings of vet and revive.
lint:
	go vet ./...
	@unformatted="$$($(GOFUMPT) -l cmd internal pkg platform)"; \
	if [ -n "$$unformatted" ]; then echo "run 'make format': $$unformatted"; exit 1; fi
	$(REVIVE) -config revive.toml -set_exit_status ./...

format:
	$(GOFUMPT) -w cmd internal pkg platform

# rename renames the identifier at AT (file:line:column) and all its uses to TO. It
# does not change strings, scripts or most comments.
rename:
	$(GOPLS) rename -write $(AT) $(TO)

# generate needs protoc (Debian's protobuf-compiler) and protoc-gen-go; its
# output is committed, so that a build needs neither.
generate:
	protoc --go_out=. --go_opt=module=github.com/chivespool/chivespool internal/encoder/*.proto
