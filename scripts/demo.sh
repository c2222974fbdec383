#!/usr/bin/env bash
# Installs, builds, and serves a streamed request and a booking through three daemons on loopback, once for each
# example deployment. DEMO_VICTIM (1, 2 or 3; default 3) is the instance that is killed between the two.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
bin=build
victim=${DEMO_VICTIM:-3}
other=$((victim % 3 + 1))
work=$(mktemp -d)
started=()

stop_all() {
    for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
    started=()
}
trap 'stop_all; rm -rf "$work"' EXIT

start() {
    "$@" >>"$work/log" 2>&1 &
    started+=("$!")
}

wait_ready() {
    for _ in $(seq 1 100); do
        $bin/chestnutsill status --instances "$1" --json | grep -q '"mayGrant":true' && return 0
        sleep 0.2
    done
    echo "instances did not become ready" >&2
    cat "$work/log" >&2
    return 1
}

run_deployment() {
    local name=$1 chat_class=$2 account=$3 service=$4 zone=$5
    echo "=== $name: configuration from the questionnaire's answers"
    $bin/chestnutsill questionnaire --answers "examples/answers/$name.json" >"$work/config.json"
    local entries="" i
    for i in 1 2 3; do
        entries+="${entries:+,}{\"name\":\"entry-$i\",\"zone\":\"$zone\",\"address\":\"127.0.0.1:710$i\",\"peer\":\"127.0.0.1:712$i\",\"state\":\"live\"}"
    done
    echo "{\"entries\":[$entries],\"upstreams\":[]}" >"$work/instances.json"
    start $bin/tests/chestnutsill-standin platform --listen 127.0.0.1:7200 --config "$work/config.json" --instances "$work/instances.json"
    start $bin/tests/chestnutsill-standin engine --listen 127.0.0.1:7301
    start $bin/tests/chestnutsill-standin engine --listen 127.0.0.1:7302
    start $bin/tests/chestnutsill-standin service --listen 127.0.0.1:7311
    start $bin/tests/chestnutsill-standin service --listen 127.0.0.1:7312
    for i in 1 2 3; do
        start $bin/chestnutsilld --name "entry-$i" --zone "$zone" --listen "127.0.0.1:710$i" \
            --admin-listen "127.0.0.1:711$i" --peer-listen "127.0.0.1:712$i" \
            --config-service 127.0.0.1:7200 --instance-list 127.0.0.1:7200
    done
    local admins=127.0.0.1:7111,127.0.0.1:7112,127.0.0.1:7113
    wait_ready "$admins"
    echo "=== $name: a streamed request of class $chat_class"
    $bin/chestnutsill send 127.0.0.1:7101 --account "$account" \
        --body '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"hello"}],"standin":{"tokens":5}}'
    echo "=== $name: instance entry-$victim is killed"
    kill -KILL "${started[$((victim + 4))]}"
    wait "${started[$((victim + 4))]}" 2>/dev/null || true
    echo "=== $name: a booking"
    local tries
    for tries in 1 2 3 4 5 6 7 8 9 10; do
        $bin/chestnutsill send "127.0.0.1:710$other" --account "$account" --class booking --target "/services/$service/bookings" \
            --body '{"seat":"12A"}' && break
        sleep 1
    done
    echo "=== $name: state"
    $bin/chestnutsill status --instances "$admins"
    $bin/chestnutsill dump --instances 127.0.0.1:7111
    stop_all
}

run_deployment hamakaze kiosk-help kiosks ticket-desk kyushu-a
run_deployment kimlong route-help dispatch rota vn-a
echo "=== done"
