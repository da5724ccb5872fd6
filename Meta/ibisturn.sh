#!/usr/bin/env bash
# Sets up, builds, runs, tests, lints and measures ibisturn. See `Meta/ibisturn.sh help`.
set -euo pipefail
cd "$(dirname "$0")/.."

PACKAGES="libboost-dev libboost-system-dev libmsgpack-cxx-dev libfmt-dev libcli11-dev libyaml-cpp-dev
    libssl-dev nlohmann-json3-dev libxxhash-dev librapidcheck-dev libgtest-dev libbenchmark-dev
    ninja-build ccache cmake g++ clang-format clang-tidy curl openssl procps python3"
JOBS=${IBISTURN_JOBS:-$(nproc)}
BUILD=${IBISTURN_BUILD:-build}
# Lets worktrees in different folders share one compiler cache.
export CCACHE_SLOPPINESS=pch_defines,time_macros CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=true

usage() {
    cat <<TEXT
Meta/ibisturn.sh setup          install Debian packages that are missing
Meta/ibisturn.sh build          set up and build
Meta/ibisturn.sh run            three instances in three data centres on loopback, until Ctrl-C
Meta/ibisturn.sh smoke          as run, with one streamed request end to end
Meta/ibisturn.sh test           build and run all tests
Meta/ibisturn.sh sanitize       as test, under AddressSanitizer and UndefinedBehaviorSanitizer
Meta/ibisturn.sh format         format the sources
Meta/ibisturn.sh lint [FILE ..] check format and names
Meta/ibisturn.sh bench [NAME]   measure against baselines
TEXT
}

setup() {
    local package missing=()
    for package in $PACKAGES; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
    done
    [ ${#missing[@]} -eq 0 ] && return
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >&2
}

# configure FOLDER [CMAKE OPTION ...]
configure() {
    local folder=$1
    shift
    cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g1" \
        -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >/dev/null
}

build() {
    setup
    configure "$BUILD"
    ninja -C "$BUILD" -j "$JOBS" --quiet
}

# Uses the programs in the folder given with --no-build (passed by a test), or builds them.
locate_programs() {
    if [ "${1:-}" = --no-build ]; then
        BIN=$2
        # Programs and stand-ins are in different folders of the build.
        STAND_INS="$BIN/Tests"
    else
        build
        BIN=$BUILD
        STAND_INS="$BUILD/Tests"
    fi
    BIN=$(realpath "$BIN")
    STAND_INS=$(realpath "$STAND_INS")
}

deploy() {
    locate_programs "$@"
    # shellcheck source=Meta/deployment.sh
    . Meta/deployment.sh
    trap stop_deployment EXIT
    start_deployment
}

chat() {
    curl -sS -N "http://$1/v1/chat/completions" -H "Authorization: Bearer $CALLER_KEY" -H 'Content-Type: application/json' \
        -d "{\"model\":\"$2\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Tell me of the barn.\"}]}"
}

run() {
    deploy "$@"
    cat <<TEXT
Three instances run, one in each data centre:
  khomas-1   callers $khomas_1_callers   operators $khomas_1_operators
  omaheke-1  callers $omaheke_1_callers   operators $omaheke_1_operators
  erongo-1   callers $erongo_1_callers   operators $erongo_1_operators
Send the first request:
  curl -N http://$khomas_1_callers/v1/chat/completions -H 'Authorization: Bearer $CALLER_KEY' \\
    -d '{"model":"narrative","stream":true,"messages":[{"role":"user","content":"Tell me of the barn."}]}'
Ask which instances to use:
  curl http://$khomas_1_callers/v1/entries -H 'Authorization: Bearer $CALLER_KEY'
Look at one instance:
  IBISTURN_OPERATOR_KEY=$OPERATOR_KEY $BUILD/ibisturn status --instance $khomas_1_operators
Ctrl-C stops them all.
TEXT
    wait
}

expect() {
    grep -q "$2" "$WORK/$1" && return
    echo "smoke: '$2' is not in $1:" >&2
    cat "$WORK/$1" >&2
    return 1
}

# The model `narrative` runs in omaheke only, so a request at khomas takes one hop.
smoke() {
    local trace
    deploy "$@"
    chat "$khomas_1_callers" narrative >"$WORK/answer"
    cat "$WORK/answer"
    expect answer 'engine-omaheke-7'
    expect answer '^data: \[DONE\]'
    chat "$khomas_1_callers" short >"$WORK/local"
    expect local 'engine-khomas-7'
    expect local '^data: \[DONE\]'
    chat "$erongo_1_callers" narrative >"$WORK/refused"
    expect refused '"number":2005'
    expect refused '"ran":"no"'
    expect refused '"entries":\[{'
    trace=$(grep -h '"name":"forward"' "$WORK/khomas-1.log" | grep -oE '"traceId":"[0-9a-f]+"' | head -1)
    await_line "$WORK/khomas-1.log" "\"name\":\"entry\".*$trace" >/dev/null
    echo "spans of $trace:"
    grep -hF "$trace" "$WORK"/*.log
    grep -hF "$trace" "$WORK/khomas-1.log" >"$WORK/origin-spans"
    expect origin-spans '"name":"entry"'
    expect origin-spans '"name":"forward"'
    grep -hF "$trace" "$WORK/omaheke-1.log" >"$WORK/receiver-spans"
    expect receiver-spans '"name":"backend"'
    if grep -rqF "$CALLER_KEY" "$WORK"/*.log; then
        echo "smoke: a caller's key stands in a log" >&2
        return 1
    fi
    echo "smoke: ok"
}

sources() {
    git ls-files --cached --others --exclude-standard '*.cpp' '*.h'
}

# lint [FILE ...]: checks all sources, or only the given ones. Headers are checked with the files that include them.
lint() {
    local files=("$PWD/(Libraries|Plugins|Programs|Tests|Benchmarks)/")
    [ $# -eq 0 ] || files=("$@")
    setup
    sources | xargs clang-format --dry-run --Werror
    configure build-lint -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON
    # GCC enables coroutines by default; clang 14 needs these macros.
    run-clang-tidy -quiet -p build-lint -j "$JOBS" \
        -extra-arg=-D__cpp_impl_coroutine=201902L -extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 -extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 \
        -extra-arg=-Wno-unknown-warning-option "${files[@]}" >build-lint/lint.log 2>&1 || {
        grep -E 'error:|warning:' build-lint/lint.log | sort -u >&2
        return 1
    }
    echo "lint: ok"
}

# Excludes the tests that KNOWN-RED.txt lists in lines "test: NAME", and prints the whole file.
run_tests() {
    local known_red=""
    build
    if [ -f KNOWN-RED.txt ]; then
        echo "known red, not decided on:"
        cat KNOWN-RED.txt
        known_red=$(sed -n 's/^[- ]*test: //p' KNOWN-RED.txt | paste -sd '|')
    fi
    ctest --test-dir "$BUILD" --output-on-failure -j "$JOBS" ${known_red:+-E "^($known_red)\$"}
}

sanitize() {
    setup
    configure build-sanitize -DIBISTURN_SANITIZE=ON
    ninja -C build-sanitize -j "$JOBS" --quiet
    ctest --test-dir build-sanitize --output-on-failure -j "$JOBS"
}

bench() {
    setup
    configure build-bench -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O2 -DNDEBUG" -DIBISTURN_CHECK_LOCK_ORDER=OFF
    ninja -C build-bench -j "$JOBS" --quiet
    build-bench/Benchmarks/ibisturn-bench "$@"
}

command=${1:-help}
[ $# -gt 0 ] && shift
case $command in
setup | build | run | smoke | sanitize | lint | bench) "$command" "$@" ;;
test) run_tests ;;
format) sources | xargs clang-format -i ;;
help) usage ;;
*)
    usage >&2
    exit 2
    ;;
esac
