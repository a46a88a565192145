#!/usr/bin/env bash
# Regenerates src/peridotbend/wire from the files in proto.
# Needs grpcio-tools, which the build and CI do not install.
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/peridotbend/wire
python -m grpc_tools.protoc -I proto --python_out="$out" --pyi_out="$out" \
  --grpclib_python_out="$out" proto/peer.proto proto/edge.proto
for name in peer edge; do
  sed -i "s/^import ${name}_pb2\$/from peridotbend.wire import ${name}_pb2/" \
    "$out/${name}_grpc.py"
done
sha256sum proto/*.proto "$out"/*_pb2.py "$out"/*_pb2.pyi "$out"/*_grpc.py \
  > "$out/DIGEST"
