#!/usr/bin/env bash
# Regenerates the committed code of protocol/peer. Needs protoc (Debian: protobuf-compiler).
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
bin=$(mktemp -d)
(cd "$top/tools" && go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go)
cd "$top"
PATH="$bin:$PATH" protoc --go_out=. --go_opt=module=github.com/hibiscuslever/hibiscuslever \
  --connect-go_out=. --connect-go_opt=module=github.com/hibiscuslever/hibiscuslever protocol/peer/peer.proto
rm -r "$bin"
