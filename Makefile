# make demo and make test are the two commands of the README.

GOFUMPT = go run mvdan.cc/gofumpt@v0.12.0
REVIVE = go run github.com/mgechev/revive@v1.17.0
GOPLS = go run golang.org/x/tools/gopls@v0.23.0

.PHONY: build test lint format rename generate demo bench large-bodies added model capacity faults kill soak spread

build:
	go build -o bin/ ./cmd/...

# SKIP names tests to pass over; CI gives it those in KNOWN-RED.txt.
test:
	go test $(if $(SKIP),-skip '$(SKIP)') ./...

# demo runs the whole system on loopback for some seconds and checks every answer.
demo:
	scripts/demo.sh

# added measures what an entry host adds to a call; on a machine at rest.
added:
	scripts/added.sh

# large-bodies sends bodies of 200 MB and bounds the daemon's memory.
large-bodies:
	scripts/large-bodies.sh

# bench compares ways of routing side by side, in under 10 minutes; it writes out/bench.json.
bench:
	scripts/bench.sh

# model checks the specifications under model/ and prints the state counts; it
# needs spin (Debian's package) and a C compiler.
model:
	model/check.sh

# capacity measures what an entry host costs, and prints slopes for docs/CAPACITY.md.
capacity:
	scripts/capacity.sh

# faults breaks a fleet on loopback in many ways and counts what must not happen.
faults:
	scripts/faults.sh

# spread measures how long a change takes to be in force on every entry host.
spread:
	scripts/spread.sh

# soak breaks fleets of real gateways by the random plans of SEEDS, and checks
# what callers and endpoints see.
soak:
	scripts/soak.sh

# kill kills a process of each kind under load and checks what must hold.
kill:
	scripts/kill.sh

# lint fails on any file that gofumpt would change, on vet's and on revive's findings.
lint:
	go vet ./...
	@unformatted="$$($(GOFUMPT) -l cmd internal pkg platform)"; \
	if [ -n "$$unformatted" ]; then echo "run 'make format': $$unformatted"; exit 1; fi
	$(REVIVE) -config revive.toml -set_exit_status ./...

format:
	$(GOFUMPT) -w cmd internal pkg platform

# rename gives the identifier at AT (file:line:column) the name TO, wherever it is
# used; strings, scripts and most comments are left to the author.
rename:
	$(GOPLS) rename -write $(AT) $(TO)

# generate needs protoc (Debian's protobuf-compiler) and protoc-gen-go; its
# output is committed, so that a build needs neither.
generate:
	protoc --go_out=. --go_opt=module=github.com/chivespool/chivespool internal/encoder/*.proto
