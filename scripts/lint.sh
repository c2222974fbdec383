#!/usr/bin/env bash
# Checks the formatting of all sources and runs clang-tidy on those in src and platform, with compile commands
# that don't use precompiled headers.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' ':!*.capnp.*')
clang-format --dry-run -Werror "${sources[@]}"
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
mapfile -t units < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build-lint --quiet \
    --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-ignored-optimization-argument
echo "format and lint: ${#sources[@]} files formatted, ${#units[@]} units linted, no findings"
