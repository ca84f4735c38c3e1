# The linter and gopls are pinned to versions and built from the module proxy. bin/ is
# not committed.
LINTER_VERSION := v2.11.4
LINTER := bin/golangci-lint
GOPLS_VERSION := v0.23.0
GOPLS := bin/gopls

.PHONY: all build lint tools test mutants bench capacity demo clean

all: build lint test

build:
	go build -o bin/endivepost ./cmd/endivepost

$(LINTER):
	GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTER_VERSION)

$(GOPLS):
	GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

tools: $(LINTER) $(GOPLS)

lint: $(LINTER)
	$(LINTER) run ./...

test:
	scripts/test.sh

mutants:
	scripts/mutants.sh

bench: build
	scripts/bench.sh

capacity: build
	bin/endivepost capacity

demo: build
	scripts/demo.sh

clean:
	rm -rf bin out
