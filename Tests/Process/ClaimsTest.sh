#!/bin/bash
# Sends bookings with idempotency keys through real processes while the store is down and an instance is killed; the service
# stand-in counts its runs of each booking. Usage: ClaimsTest.sh FOLDER, the folder of the built programs.
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$1
STAND_INS=$1/Tests
BOOKING_RUN_MS=700
source Meta/deployment.sh
trap stop_deployment EXIT

# book ENTRY KEY [BODY]: prints the answer.
book() {
    curl -sS -m 15 "http://$1/bookings" -H "Authorization: Bearer $CALLER_KEY" -H "Idempotency-Key: $2" -d "${3:-coach}"
}

runs_of() {
    curl -sS "http://$BOOKINGS/runs" | grep -oE "\"$1\":[0-9]+" | cut -d: -f2
}

expect() {
    if [ "$1" != "$2" ]; then
        echo "claims: $3: expected '$1', got '$2'" >&2
        exit 1
    fi
}

expect_error() {
    grep -q "\"number\":$2,\"param\":null,\"ran\":\"$3\"" <<<"$1" || expect "$2 $3" "$1" "$4"
}

set_store_faults() {
    curl -sS "http://$STORE/faults" -d "$1" -o "$WORK/faults.log"
}

start_deployment
omaheke_pid=${DEPLOYMENT_PIDS[6]}

expect '{"runs":1}' "$(book "$omaheke_1_callers" whole)" "first attempt"
expect '{"runs":1}' "$(book "$khomas_1_callers" whole)" "retry through another instance"
expect_error "$(book "$khomas_1_callers" whole bus)" 4005 no "other body"
expect_error "$(book "$khomas_1_callers" "$(printf '%256s' x | tr ' ' x)")" 1001 no "key too long"
expect 1 "$(runs_of whole)" "runs of a whole booking"

# The store's reply to the transaction is lost after the transaction was committed.
set_store_faults '{"lose_replies":1}'
expect '{"runs":1}' "$(book "$khomas_1_callers" lost-reply)" "lost reply of the store"

# While the store is down, requests with keys that the instance issued are run, and others are refused.
set_store_faults '{"down":true}'
expect_error "$(book "$khomas_1_callers" outage)" 5003 no "store down"
issued=$(curl -sS "http://$khomas_1_callers/v1/idempotency-keys" -H "Authorization: Bearer $CALLER_KEY" | cut -d'"' -f4)
expect '{"runs":1}' "$(book "$khomas_1_callers" "$issued")" "issued key"
expect '{"runs":1}' "$(book "$omaheke_1_callers" "$issued")" "retry of an issued key through another instance"
set_store_faults '{}'
expect '{"runs":1}' "$(book "$omaheke_1_callers" outage)" "retry after the outage"

# The instance is killed during the run; without the claim, a retry through another instance would run the booking again.
book "$omaheke_1_callers" killed >"$WORK/killed.log" 2>&1 &
caller=$!
timeout 10 bash -c "until curl -sS 'http://$BOOKINGS/runs' | grep -q killed; do sleep 0.02; done"
kill -9 "$omaheke_pid"
wait "$caller" || true
expect_error "$(book "$khomas_1_callers" killed)" 4002 unknown "retry after the kill"
expect 1 "$(runs_of killed)" "runs of the killed entry's booking"

# Claims advance the store's revision; a restarted instance must not conclude from it that the others have outdated records.
start_instance omaheke-1
write_live_list
await_status "$omaheke_1_operators" '"instances":3.*"records":9'
expect '{"runs":1}' "$(book "$omaheke_1_callers" restarted)" "booking through the restarted entry"
echo "claims: ok"
