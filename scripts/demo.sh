#!/usr/bin/env bash
# Installs packages, builds, and sends a streamed request and a booking through daemons on loopback: first with
# two instances that read the platform's store, then with three instances for each example deployment.
# DEMO_VICTIM (1, 2 or 3; default 3) is the instance that is killed between the two requests of a deployment.
# DEMO_NO_BUILD skips the installation and the build.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -n "${DEMO_NO_BUILD:-}" ] || scripts/build.sh
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
    echo "=== $name: generating the configuration from the answers of the questionnaire"
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

# Sends one request and prints the response. Arguments: address, path, attempt id.
platform_request() {
    local host=${1%:*} port=${1##*:}
    exec 3<>"/dev/tcp/$host/$port"
    printf 'POST %s HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: %s\r\nAuthorization: Bearer demo-key\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}' "$2" "$3" >&3
    cat <&3
    exec 3>&-
}

# Writes an item to the store. Arguments: key, value.
platform_put() {
    exec 3<>/dev/tcp/127.0.0.1/7400
    printf 'PUT /item?key=%s HTTP/1.1\r\nHost: store\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' "$1" "${#2}" "$2" >&3
    cat <&3 >/dev/null
    exec 3>&-
}

run_platform() {
    echo "=== platform: a store, an engine, a plain service, two instances"
    start $bin/tests/chestnutsill-standin store --listen 127.0.0.1:7400
    start $bin/tests/chestnutsill-standin replica --listen 127.0.0.1:7411 --id engine-1
    start $bin/tests/chestnutsill-standin replica --listen 127.0.0.1:7412 --id desk-1
    until (exec 3<>/dev/tcp/127.0.0.1/7400) 2>/dev/null; do sleep 0.1; done
    platform_put op/config '{"version":1,"routes":[{"name":"chat","hostname":"site.example","path_prefix":"/stream/","route_kind":"streaming","timeout_ms":5000,"goal_ms":800,"priority":0,"service":"engine","max_attempts":2,"resumable":true,"target_gap_ms":400},{"name":"book","hostname":"site.example","path_prefix":"/book/","route_kind":"unsafe","timeout_ms":2000,"priority":1,"service":"desk","max_attempts":1}],"services":[{"name":"engine","cold_start_s":1,"cold_per_s":8,"engine":{"kv_capacity":400000}},{"name":"desk"}],"tenants":[{"name":"demo","api_keys":["demo-key"],"priority":1}]}'
    platform_put servers/engine-1 '{"service":"engine","address":"127.0.0.1:7411","zone":"a","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":1}'
    platform_put servers/desk-1 '{"service":"desk","address":"127.0.0.1:7412","zone":"a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1}'
    local i ip first=${#started[@]}
    for i in 1 2; do
        ip=127.0.2.$i
        echo "{\"node_name\":\"entry-$i\",\"zone\":\"a\",\"region\":\"r\",\"ip\":\"$ip\",\"listen\":{\"frontend\":\"$ip:7501\",\"readiness\":\"$ip:7502\",\"directory\":\"$ip:7503\"},\"internal_ports\":[7504,7510],\"seeds\":[\"127.0.2.1:1\",\"127.0.2.2:1\"],\"platform\":{\"address\":\"127.0.0.1:7400\"},\"bounds\":{\"revoke_strict\":true,\"revoke_ms\":5000,\"grace_s\":4}}" >"$work/entry-$i.json"
        CHESTNUTSILL_CONFIG="$work/entry-$i.json" start $bin/chestnutsilld --metrics-port 9464
    done
    until platform_request 127.0.2.1:7501 /book/x "ready-$RANDOM" 2>/dev/null | grep -q '200 OK'; do sleep 0.1; done
    echo "=== platform: a stream"
    platform_request 127.0.2.1:7501 /stream/x stream-1
    echo "=== platform: instance entry-1 is killed; a booking at the other"
    kill -KILL "${started[$first]}"
    until platform_request 127.0.2.2:7501 /book/x "booking-$RANDOM" 2>/dev/null | grep -q 'body of booking'; do sleep 0.1; done
    echo "booked"
    stop_all
}

run_platform
run_deployment hamakaze kiosk-help kiosks ticket-desk kyushu-a
run_deployment kimlong route-help dispatch rota vn-a
echo "=== done"
