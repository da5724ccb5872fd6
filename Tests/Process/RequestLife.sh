#!/usr/bin/env bash
# Tests the lifecycle of requests with real processes and signals on loopback: RequestLife.sh FOLDER CASE, where FOLDER
# holds the built programs. Each case waits for events; a timeout is reached only if the test has failed.
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$(realpath "$1")
STAND_INS="$BIN/Tests"
# shellcheck source=Meta/deployment.sh
. Meta/deployment.sh
trap 'stop_deployment || true' EXIT

fail() {
    echo "$*" >&2
    tail -n 20 "$WORK"/answer* "$WORK"/*.log >&2
    exit 1
}

# await COMMAND: waits until it succeeds, for at most ten seconds.
await() {
    local tries
    for tries in $(seq 500); do
        "$@" && return
        sleep 0.02
    done
    fail "condition not met within ten seconds: $*"
}

file_matches() {
    grep -qE "$2" "$WORK/$1" 2>/dev/null
}

# add_engine NAME REGION ROUTE OPTIONS: writes a route with a model of the same name, and starts and registers an engine for it.
add_engine() {
    local name=$1 region=$2 route=$3 variable=ENGINE_${1//-/_} resume=unsupported
    shift 3
    [[ " $* " == *" --resume "* ]] && resume=supported
    start_stand_in "$variable" "$name" engine --name "$name" "$@"
    printf -v "PID_${name//-/_}" '%s' "${DEPLOYMENT_PIDS[-1]}"
    put_record routes "$route" "{\"schema\":1,\"path\":\"/v1/chat/completions\",\"model\":\"$route\"}"
    put_record backend_servers "$name" "{\"schema\":1,\"kind\":\"engine\",\"endpoint\":\"${!variable}\",\"region\":\"$region\",\"data_centre\":\"$region-1\",\"routes\":[\"$route\"],\"resume\":\"$resume\"}"
}

# await_records OPERATORS COUNT: waits until the instance with this operators' listener has COUNT records.
await_records() {
    await eval "IBISTURN_OPERATOR_KEY=$OPERATOR_KEY '$BIN/ibisturn' status --json --instance '$1' | grep -q '\"records\":$2[,}]'"
}

# begin_stream LISTENER MODEL: starts a streaming request and waits for its first event.
begin_stream() {
    send_request "$1" "$2" answer &
    STREAM=$!
    await file_matches answer '^data: '
}

# send_request LISTENER MODEL FILE [CURL OPTION ...]: sends a streaming request and stores the answer in FILE.
send_request() {
    local listener=$1 model=$2 file=$3
    shift 3
    curl -sS -N -i "$@" "http://$listener/v1/chat/completions" -H "Authorization: Bearer $CALLER_KEY" -H 'Content-Type: application/json' \
        -d "{\"model\":\"$model\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Tell me of the barn.\"}]}" \
        >"$WORK/$file" 2>"$WORK/$file.errors"
}

# expect_truncated NUMBER: the answer is truncated, with an error event, no terminal event and no clean end.
expect_truncated() {
    if wait "$STREAM"; then fail "the truncated answer has a clean end"; fi
    file_matches answer "\"number\":$1" || fail "no error event with number $1"
    if file_matches answer '^data: \[DONE\]'; then fail "the truncated answer has a terminal event"; fi
}

expect_complete() {
    wait "$STREAM" || fail "the answer has no clean end"
    file_matches answer '^data: \[DONE\]' || fail "the answer lacks its terminal event"
}

pid_of_instance() {
    pgrep -P $$ -f "serve --settings $WORK/$1.yaml"
}

# Two SIGTERMs while a stream of several seconds is in flight.
case_drain() {
    local pid
    add_engine slow-khomas khomas slow --tokens 30 --token-ms 100
    await_records "$khomas_1_operators" 11
    begin_stream "$khomas_1_callers" slow
    # An idle keep-alive connection is closed at once.
    exec 9<>"/dev/tcp/${khomas_1_callers%:*}/${khomas_1_callers#*:}"
    printf 'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n' >&9
    read -r -t 10 -u 9 _ || fail "no answer from /healthz"
    pid=$(pid_of_instance khomas-1)
    kill -TERM "$pid"
    await file_matches khomas-1.log 'instance: Draining'
    timeout 10 cat <&9 >/dev/null || fail "an idle connection was not closed"
    exec 9>&-
    kill -TERM "$pid"
    send_request "$khomas_1_callers" slow refused || true
    file_matches refused '"number":3004' || fail "not refused as draining"
    file_matches refused '"ran":"no"' || fail "not refused as not run"
    file_matches refused '^Connection: close' || fail "no Connection: close"
    expect_complete
    [ "$(grep -c 'slow-khomas-' "$WORK/answer")" = 30 ] || fail "a token of the stream is missing"
    wait "$pid" || fail "the instance did not exit with 0"
}

# SIGTERM to the instance that serves a forwarded stream: it completes the stream and refuses the next request as not run.
case_drain_receiver() {
    local pid
    add_engine slow-omaheke omaheke slow --tokens 30 --token-ms 100
    await_records "$khomas_1_operators" 11
    await_records "$omaheke_1_operators" 11
    begin_stream "$khomas_1_callers" slow
    pid=$(pid_of_instance omaheke-1)
    kill -TERM "$pid"
    await file_matches omaheke-1.log 'instance: Draining'
    send_request "$khomas_1_callers" slow refused || true
    # Either the instance refuses it, or the origin already knows that it drains and has no other instance for this model.
    file_matches refused '"number":3004' || file_matches refused '"number":3005' || fail "not refused as draining"
    file_matches refused '"ran":"no"' || fail "not refused as not run"
    curl -sS "http://$omaheke_1_callers/v1/entries" -H "Authorization: Bearer $CALLER_KEY" >"$WORK/entries"
    if file_matches entries '"omaheke-1"'; then fail "the draining instance still lists itself as an entry"; fi
    file_matches entries '"khomas-1"' || fail "the other instance is not listed as an entry"
    expect_complete
    wait "$pid" || fail "the instance did not exit with 0"
}

# Streams that are still in flight when the drain times out are truncated with an error event.
case_drain_timeout() {
    add_engine slow-erongo erongo slow --tokens 400 --token-ms 50
    put_record residency at-home '{"schema":1,"regions":["khomas","omaheke","erongo"]}'
    await_records "$khomas_1_operators" 11
    write_settings khomas-2 khomas khomas-1
    echo 'timeouts: {drain: 200ms}' >>"$WORK/khomas-2.yaml"
    start_instance khomas-2
    await_records "$khomas_2_operators" 11
    await eval "curl -sS 'http://$khomas_2_callers/v1/entries' -H 'Authorization: Bearer $CALLER_KEY' | grep -q erongo-1"
    begin_stream "$khomas_2_callers" slow
    kill -TERM "$(pid_of_instance khomas-2)"
    expect_truncated 4003
}

# SIGKILL to the instance that serves a forwarded stream.
case_kill_receiver() {
    add_engine slow-omaheke omaheke slow --tokens 100 --token-ms 50
    await_records "$khomas_1_operators" 11
    await_records "$omaheke_1_operators" 11
    begin_stream "$khomas_1_callers" slow
    kill -KILL "$(pid_of_instance omaheke-1)"
    expect_truncated 4003
}

# SIGSTOP to the receiving instance until after the caller's deadline: after SIGCONT it must not run the expired request.
case_freeze_receiver() {
    local pid
    add_engine slow-omaheke omaheke slow --tokens 2
    await_records "$khomas_1_operators" 11
    await_records "$omaheke_1_operators" 11
    # Opens a connection between the instances, on which the next request is sent immediately.
    send_request "$khomas_1_callers" slow answer || fail "no answer"
    pid=$(pid_of_instance omaheke-1)
    kill -STOP "$pid"
    send_request "$khomas_1_callers" slow refused -H 'X-Request-Timeout: 300ms' || true
    kill -CONT "$pid"
    file_matches refused '"number":4007' || fail "the deadline did not end the request"
    file_matches refused '"ran":"unknown"' || fail "the request is not reported with an unknown outcome"
    send_request "$omaheke_1_callers" slow answer || fail "no answer after SIGCONT"
    engine_reports "$ENGINE_slow_omaheke" '"runs":2' || fail "a request ran after its origin had abandoned it"
}

# SIGKILL to an engine without resume support.
case_kill_engine() {
    add_engine slow-khomas khomas slow --tokens 100 --token-ms 50
    await_records "$khomas_1_operators" 11
    begin_stream "$khomas_1_callers" slow
    kill -KILL "$PID_slow_khomas"
    expect_truncated 4003
}

# SIGKILL to an engine with resume support: a replica resumes the stream of a forwarded request.
case_resume() {
    local expected
    add_engine first-omaheke omaheke slow --tokens 40 --token-ms 50 --resume
    await_records "$khomas_1_operators" 11
    await_records "$omaheke_1_operators" 11
    begin_stream "$khomas_1_callers" slow
    add_engine second-omaheke omaheke slow --tokens 40 --token-ms 5 --resume
    await_records "$omaheke_1_operators" 12
    kill -KILL "$PID_first_omaheke"
    expect_complete
    expected=$(seq 0 39)
    [ "$(sed -n 's/^id: \([0-9]*\).*/\1/p' "$WORK/answer")" = "$expected" ] || fail "an event id is duplicated or missing"
    [ "$(grep -oE '(first|second)-omaheke-[0-9]+' "$WORK/answer" | sed 's/.*-//')" = "$expected" ] || fail "a token is duplicated or missing"
    file_matches answer 'second-omaheke-39' || fail "the replica did not resume the stream"
}

# Withdrawing a key ends its running streams within three seconds of the accepted write.
case_withdraw_key() {
    local digest began
    add_engine slow-omaheke omaheke slow --tokens 400 --token-ms 50
    await_records "$khomas_1_operators" 11
    await_records "$omaheke_1_operators" 11
    begin_stream "$khomas_1_callers" slow
    digest=$(printf '%s\n' "$CALLER_KEY" | "$BIN/ibisturn" digest)
    IBISTURN_OPERATOR_KEY=$OPERATOR_KEY "$BIN/ibisturn" ctl --json --instance "$khomas_1_operators" withdraw keys "$digest" >"$WORK/withdraw.log"
    began=$(date +%s%3N)
    expect_truncated 2002
    [ $(($(date +%s%3N) - began)) -lt 3000 ] || fail "the stream continued for three seconds or longer"
    send_request "$khomas_1_callers" slow refused || true
    file_matches refused '"number":2002' || fail "the key still works"
    await engine_reports "$ENGINE_slow_omaheke" '"cancelled":1'
}

# A residency rule that no longer permits a region ends the requests that run there.
case_residency() {
    add_engine slow-omaheke omaheke slow --tokens 400 --token-ms 50
    await_records "$khomas_1_operators" 11
    await_records "$omaheke_1_operators" 11
    begin_stream "$khomas_1_callers" slow
    put_record residency at-home '{"schema":1,"regions":["khomas"]}'
    expect_truncated 2005
    await engine_reports "$ENGINE_slow_omaheke" '"cancelled":1'
}

engine_reports() {
    curl -sS "http://$1/load" | grep -q "$2"
}

# A caller disconnects before the first byte of the answer; the engine, one hop away, detects the cancellation at its first token.
case_caller_gone() {
    add_engine slow-omaheke omaheke slow --tokens 100 --token-ms 500
    await_records "$khomas_1_operators" 11
    await_records "$omaheke_1_operators" 11
    send_request "$khomas_1_callers" slow answer &
    STREAM=$!
    await engine_reports "$ENGINE_slow_omaheke" '"under_way":1'
    kill -TERM "$(pgrep -P "$STREAM" -x curl)"
    wait "$STREAM" || true
    await engine_reports "$ENGINE_slow_omaheke" '"cancelled":1'
    await engine_reports "$ENGINE_slow_omaheke" '"under_way":0'
    engine_reports "$ENGINE_slow_omaheke" '"runs":1' || fail "the request ran more than once"
}

# Only one request is sent to a dead engine, and is retried; the following ones go directly to the replica.
case_dead_engine() {
    local request started elapsed tries backoff retries
    add_engine first-khomas khomas pair --tokens 2
    add_engine second-khomas khomas pair --tokens 2
    await_records "$khomas_1_operators" 12
    kill -KILL "$PID_first_khomas"
    started=$(date +%s%3N)
    for request in 1 2 3 4 5 6 7 8 9 10; do
        send_request "$khomas_1_callers" pair answer || fail "request $request has no clean end"
        file_matches answer '^data: \[DONE\]' || fail "the answer to request $request lacks its terminal event"
    done
    elapsed=$(($(date +%s%3N) - started))
    engine_reports "$ENGINE_second_khomas" '"runs":10' || fail "the replica did not run all requests"
    IBISTURN_OPERATOR_KEY=$OPERATOR_KEY curl -sS "http://$khomas_1_operators/metrics" -H "Authorization: Bearer $OPERATOR_KEY" >"$WORK/metrics"
    # The engine is tried again after 1 s, and then after twice as long each time.
    tries=1
    for ((backoff = 1000; elapsed >= backoff; backoff = 2 * backoff + 1000)); do tries=$((tries + 1)); done
    retries=$(sed -n 's/^ibisturn_retries_total //p' "$WORK/metrics")
    [ "$retries" -ge 1 ] && [ "$retries" -le "$tries" ] || fail "$retries requests were sent to the dead engine in $elapsed ms, where $tries may be"
}

# An answer with a Content-Length instead of chunks, from the local region and one hop away.
case_plain_answer() {
    local listener
    for listener in "$khomas_1_callers" "$omaheke_1_callers"; do
        curl -sS -i -o "$WORK/answer" "http://$listener/v1/chat/completions" -H "Authorization: Bearer $CALLER_KEY" -d '{"model":"narrative"}'
        file_matches answer '^HTTP/1.1 200' || fail "no answer with status 200"
        file_matches answer 'answer from engine-omaheke' || fail "not the engine's answer"
    done
}

# The caller's deadline ends a stream.
case_deadline() {
    add_engine slow-khomas khomas slow --tokens 400 --token-ms 50
    await_records "$khomas_1_operators" 11
    send_request "$khomas_1_callers" slow answer -H 'X-Request-Timeout: 500ms' &
    STREAM=$!
    expect_truncated 4007
    await engine_reports "$ENGINE_slow_khomas" '"cancelled":1'
    send_request "$khomas_1_callers" slow refused -H 'X-Request-Timeout: soon' || true
    file_matches refused '"number":1001' || fail "a malformed timeout was accepted"
}

# No backend server receives a key, in whichever way the caller sends it.
case_key_unseen() {
    local target="/v1/chat/completions" body='{"model":"slow","stream":true}'
    add_engine slow-omaheke omaheke slow --tokens 3
    await_records "$khomas_1_operators" 11
    await_records "$omaheke_1_operators" 11
    send_request "$khomas_1_callers" slow answer || fail "no answer"
    send_request "$omaheke_1_callers" slow answer || fail "no answer"
    curl -sS -o "$WORK/answer-2" "http://$khomas_1_callers$target" -H "X-Api-Key: $CALLER_KEY" -d "$body"
    curl -sS -o "$WORK/answer-3" "http://$khomas_1_callers$target?api_key=$CALLER_KEY" -d "$body"
    curl -sS "http://$ENGINE_slow_omaheke/seen" >"$WORK/seen"
    [ "$(grep -o 'POST ' "$WORK/seen" | wc -l)" = 4 ] || fail "not every request reached the engine"
    if grep -qF "$CALLER_KEY" "$WORK/seen"; then fail "the engine received the key"; fi
    if grep -qF "$(printf '%s\n' "$CALLER_KEY" | "$BIN/ibisturn" digest)" "$WORK/seen"; then fail "the engine received the digest"; fi
}

start_deployment
"case_$2"
# A build with sanitizers reports errors in the logs.
if grep -lE 'Sanitizer|runtime error' "$WORK"/*.log; then fail "a sanitizer reported an error"; fi
echo "$2: ok"
