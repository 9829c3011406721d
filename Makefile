.PHONY: all build ci test generate demo

all: build

build:
	go build -o bin/ ./cmd/...

ci:
	bash .ci/run

test:
	go test ./...

# Needs protoc; the generated code is committed, so a build does not.
generate:
	mkdir -p bin/tools && cd tools && GOBIN="$(CURDIR)/bin/tools" go install tool
	PATH="$(CURDIR)/bin/tools:$$PATH" protoc -I internal/wire --go_out=. --go_opt=module=cassiawood internal/wire/cassiawood.proto internal/wire/cluster.proto internal/wire/state.proto

demo: build
	scripts/demo.sh
