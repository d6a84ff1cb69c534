GO ?= go

.PHONY: build test fmt lint unit demo demo-charter

build:
	$(GO) build -o bin/ ./cmd/...

fmt:
	$(GO) tool gofumpt -l -w cmd internal

lint:
	@out=$$($(GO) tool gofumpt -l cmd internal); if [ -n "$$out" ]; then echo "not gofumpt-clean:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	$(GO) test -race ./...

test: lint build unit

demo: build
	scripts/demo.sh cantonal

demo-charter: build
	scripts/demo.sh charter
