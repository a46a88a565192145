#!/usr/bin/env bash
# Regenerates src/peridotbend/wire from proto/peer.proto.
# Needs grpcio-tools, which the build and CI do not install.
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/peridotbend/wire
python -m grpc_tools.protoc -I proto --python_out="$out" --pyi_out="$out" \
  --grpclib_python_out="$out" proto/peer.proto
sed -i 's/^import peer_pb2$/from peridotbend.wire import peer_pb2/' \
  "$out/peer_grpc.py"
sha256sum proto/peer.proto "$out"/peer_pb2.py "$out"/peer_pb2.pyi \
  "$out"/peer_grpc.py > "$out/DIGEST"
