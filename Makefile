# Targets for developers; README.md describes each.
.PHONY: build test demo up faults soak bench capacity model lint fmt generate

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

demo: build
	scripts/demo.sh

up: build
	scripts/demo.sh --up

faults: build
	scripts/demo.sh --faults
	bin/mastic-cuts

# A full soak run is SEEDS=50 and takes ten minutes.
SEEDS ?= 2
soak: build
	bin/mastic-soak --seeds $(SEEDS)

bench: build
	bin/mastic-bench --save docs/measurements
	scripts/bench-idle.sh docs/measurements

capacity: build
	bin/mastic-capacity docs/measurements

model:
	scripts/model.sh

lint:
	scripts/lint.sh

fmt:
	gofumpt -l -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

generate:
	scripts/generate.sh
