#!/usr/bin/env bash
# Installs the packages that the build, the tests and the linters need. Requires root and Debian's apt-get.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config libboost1.81-dev libboost-json1.81-dev libboost-log1.81-dev
    libboost-program-options1.81-dev libboost-context1.81-dev libboost-url1.81-dev libcapnp-dev doctest-dev librapidcheck-dev
    clang-format clang-tidy)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
