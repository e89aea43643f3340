# Commands for developers. `make check` is what CI runs.

PACKAGES := ./... ./controld/... ./entryd/... ./sardctl/... ./standin/...
SOURCES  := $(shell git ls-files --cached --others --exclude-standard '*.go' | grep -vE '\.(pb|twirp)\.go$$')
BIN      := $(CURDIR)/.bin

# Tests that KNOWN-RED.txt lists by name, and parts of them as Test/part, are passed over;
# .ci/run prints them.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\) *|.*/\1/p' KNOWN-RED.txt | paste -sd '|' -)
KNOWN_RED_PARTS := $(shell sed -n 's,^\(Test[A-Za-z0-9_]*\)/\([a-z_]*\) *|.*,^\1$$/^\2$$,p' KNOWN-RED.txt | paste -sd '|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$$(if $(KNOWN_RED_PARTS),|$(KNOWN_RED_PARTS))')

# Tests that measure how fast sites of many nodes in one process answer. They run by
# themselves, four at a time.
TIMED_NAMES := \
	StrandedNodesServeTheirCallers StrandedNodesServeBesideADrain StrandedNodesServeBesideACrash StrandedNodesKeepStreamsUnderWay \
	StrandedNodesEndRequestsOfCallersThatLeave StrandedNodesCheckKeysAndRoutes StrandedSiteRefusesAtOnce \
	NodesWithFlappingLinksServeTheirCallers RequestsRunOnceWhileLinksAreCut PassedStreamsSurviveTheEndOfACut \
	StreamsStayInOrderWhileCutsMove StreamsGoOnThroughAnotherNode CutNodeNoticesThatItIsIsolated IdleNodeNoticesThatItIsIsolated \
	CutIsNotChargedToTargets IsolatedNodesRefuseAtOnce RequestsBeyondTheRetryLimitKeepTheirTargets PassedRequestsSurvivePeersThatStop CallersThatLeaveEndPassedRequests \
	SiteStopsSendingASegmentThatFailsItsWorkers
EMPTY :=
SPACE := $(EMPTY) $(EMPTY)
TIMED := ^Test($(subst $(SPACE),|,$(strip $(TIMED_NAMES))))$$

# Tests of crowds of clients measure the memory of processes. They run one at a time,
# apart from all others.
CROWDS := ^TestCrowds

.PHONY: check demo fail tools rename-tool format-check lint vet build catalogues test race generate format pages operate measures

check: tools format-check vet lint build catalogues test race

demo:
	go run ./sardctl demo

# The status through each failure of the demo; about a minute.
fail: build
	@for f in member domain control entry poison; do $(BIN)/sardctl demo --fail $$f || exit 1; done

tools:
	cd tools && GOWORK=off go build -o $(BIN)/ mvdan.cc/gofumpt honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive

# Renames follow a name through all five modules:
# .bin/gopls rename -w FILE:LINE:COLUMN NAME
rename-tool:
	GOBIN=$(BIN) go install golang.org/x/tools/gopls@v0.23.0

format-check:
	@bad=$$($(BIN)/gofumpt -l $(SOURCES)) || exit 1; if [ -n "$$bad" ]; then echo "make: not formatted, run 'make format':"; echo "$$bad"; exit 1; fi

format:
	$(BIN)/gofumpt -w $(SOURCES)

vet:
	go vet $(PACKAGES)

lint:
	$(BIN)/staticcheck $(PACKAGES)
	$(BIN)/revive -config revive.toml -set_exit_status -exclude ./wire/... $(PACKAGES)

build:
	go build -o $(BIN)/ ./controld ./entryd ./entryd/severd ./sardctl ./standin

# Fails when a generated page of docs/ is out of date; `make pages` writes them.
catalogues: build
	$(BIN)/sardctl docs check docs

pages:
	go run ./sardctl docs write docs

test:
	go test -skip '$(if $(KNOWN_RED),^($(KNOWN_RED))$$|)$(TIMED)|$(CROWDS)' $(PACKAGES)
	go test $(SKIP) -run '$(TIMED)' -parallel 4 ./platform
	go test -count=1 -p 1 $(SKIP) -run '$(CROWDS)' ./platform/roll

# Follows the operators' pages with processes of their own on loopback.
operate: build
	.ci/operate

# Runs every measure and rewrites the tables of docs/MEASURES.md. LENGTH=short
# only tries that it works.
LENGTH := full
measures: build
	.ci/measures $(LENGTH)

# The packages whose goroutines share memory.
race:
	go test -race $(SKIP) ./ring/... ./clock/... ./repl/... ./peer/... ./ctlapi/... ./standin/site/...

# The generated code is committed; this needs buf, which CI does not build.
generate:
	cd tools && GOWORK=off go build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	cd gen && GOWORK=off go build -o $(BIN)/ github.com/bufbuild/buf/cmd/buf
	PATH=$(BIN):$$PATH $(BIN)/buf generate
