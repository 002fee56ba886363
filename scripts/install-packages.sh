#!/usr/bin/env bash
# Installs the Debian packages that the build needs, unless all are installed.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy pkg-config
  libcivetweb-dev libnghttp2-dev prometheus-cpp-dev libdocopt-dev libspdlog-dev
  libyaml-cpp-dev libboost-test-dev libxxhash-dev libcoap3-dev
  libcurl4-openssl-dev libssl-dev nlohmann-json3-dev libbenchmark-dev
  libflatbuffers-dev libevent-dev libsimdjson-dev libfmt-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
