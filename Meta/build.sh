#!/usr/bin/env bash
# Configures and builds everything in Release mode into build/ (or $BUILD_DIR).
set -euo pipefail
root_dir="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build_dir="${BUILD_DIR:-${root_dir}/build}"
export CCACHE_BASEDIR="${root_dir}" CCACHE_NOHASHDIR=1
cmake -S "${root_dir}" -B "${build_dir}" -G Ninja -DCMAKE_BUILD_TYPE=Release > "${build_dir}.cmake.log" 2>&1 \
  || { cat "${build_dir}.cmake.log"; exit 1; }
cmake --build "${build_dir}" -j "${BUILD_JOBS:-$(nproc)}" "$@"
