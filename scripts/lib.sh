# Paths, required packages and build commands shared by the scripts. Sourced.
set -euo pipefail
MILL_ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
MILL_BUILD=${MILL_BUILD:-$MILL_ROOT/build}
MILL_PACKAGES="gcc g++ cmake ninja-build ccache clang-format clang-tidy curl
  libboost1.81-dev libboost-json1.81-dev capnproto libcapnp-dev prometheus-cpp-dev
  libgflags-dev libfmt-dev nlohmann-json3-dev catch2 librapidcheck-dev libxxhash-dev libssl-dev zlib1g-dev
  libcurl4-openssl-dev libcbor-dev"
export CCACHE_BASEDIR=$MILL_ROOT CCACHE_NOHASHDIR=1 CCACHE_SLOPPINESS=pch_defines,time_macros

# Installs only missing packages, so that a second run needs no package registry.
install_packages() {
  local missing=()
  for p in $MILL_PACKAGES; do
    dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'install ok installed' || missing+=("$p")
  done
  [ ${#missing[@]} -eq 0 ] && return 0
  apt-get update -q >/dev/null
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}" >/dev/null
}

# build [NINJA ARGUMENTS...]: configures the build on first use and builds.
build() {
  [ -f "$MILL_BUILD/build.ninja" ] || cmake -S "$MILL_ROOT" -B "$MILL_BUILD" -G Ninja ${MILL_CMAKE_ARGS:-} >/dev/null
  ninja -C "$MILL_BUILD" "$@"
}
