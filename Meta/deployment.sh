# Starts a small deployment on loopback for `run` and `smoke`; to be sourced by bash. Requires BIN and STAND_INS, the
# folders of the built programs. The system chooses all ports.

OPERATOR_KEY=operator-example-key
CALLER_KEY=caller-example-key
DEPLOYMENT_PIDS=()
REGIONS=(khomas omaheke erongo)

# Waits at most ten seconds for a line of `file` that matches `pattern`, and prints it.
await_line() {
    local file=$1 pattern=$2
    timeout 10 bash -c "until grep -m1 -E '$pattern' '$file' 2>/dev/null; do sleep 0.02; done" || {
        echo "no line '$pattern' in $file:" >&2
        cat "$file" >&2
        return 1
    }
}

# Starts a stand-in and sets the variable named by $1 to its address.
start_stand_in() {
    local variable=$1 log="$WORK/$2.log"
    shift 2
    "$STAND_INS/ibisturn-stand-ins" "$@" >"$log" 2>&1 &
    DEPLOYMENT_PIDS+=($!)
    printf -v "$variable" '%s' "$(await_line "$log" '^listening ' | cut -d' ' -f2)"
}

write_settings() {
    local instance=$1 region=$2 data_centre=$3
    cat >"$WORK/$instance.yaml" <<YAML
instance: $instance
region: $region
data_centre: $data_centre
callers: {listen: "127.0.0.1:0"}
peers: {listen: "127.0.0.1:0"}
operators:
  listen: "127.0.0.1:0"
  credentials:
    - {name: example, digest: $(printf '%s\n' "$OPERATOR_KEY" | "$BIN/ibisturn" digest)}
platform:
  store: {endpoints: ["$STORE"]}
  live_list: {endpoint: "$LIVE", poll: 100ms}
traces: {collector: stderr}
YAML
}

# Starts an instance and sets ${instance}_callers, _operators and _peers to its addresses, with - replaced by _.
start_instance() {
    local instance=$1 name=${1//-/_} line part
    "$BIN/ibisturn" check "$WORK/$instance.yaml" >"$WORK/$instance.check" || return 1
    "$BIN/ibisturn" serve --settings "$WORK/$instance.yaml" >"$WORK/$instance.log" 2>&1 &
    DEPLOYMENT_PIDS+=($!)
    line=$(await_line "$WORK/$instance.log" 'instance: Listening')
    for part in callers operators peers; do
        printf -v "${name}_$part" '%s' "$(grep -oE "$part=[^ ]+" <<<"$line" | cut -d= -f2)"
    done
}

put_record() {
    printf '{"kind":"%s","name":"%s","record":%s}' "$1" "$2" "$3" >"$WORK/record.json"
    IBISTURN_OPERATOR_KEY=$OPERATOR_KEY "$BIN/ibisturn" ctl --json --instance "$khomas_1_operators" put "$WORK/record.json" >"$WORK/put.log" || {
        cat "$WORK/put.log" >&2
        return 1
    }
}

write_records() {
    local digest
    digest=$(printf '%s\n' "$CALLER_KEY" | "$BIN/ibisturn" digest)
    put_record residency at-home '{"schema":1,"regions":["khomas","omaheke"]}'
    put_record workspaces guides '{"schema":1,"residency":"at-home","rate":1000,"burst":5000}'
    put_record keys "$digest" '{"schema":1,"workspace":"guides"}'
    put_record routes narrative '{"schema":1,"path":"/v1/chat/completions","model":"narrative"}'
    put_record routes short '{"schema":1,"path":"/v1/chat/completions","model":"short"}'
    put_record routes bookings '{"schema":1,"path":"/bookings","kind":"service","repeatability":"non-idempotent"}'
    put_record backend_servers engine-khomas "{\"schema\":1,\"kind\":\"engine\",\"endpoint\":\"$ENGINE_KHOMAS\",\"region\":\"khomas\",\"data_centre\":\"khomas-1\",\"routes\":[\"short\"]}"
    put_record backend_servers engine-omaheke "{\"schema\":1,\"kind\":\"engine\",\"endpoint\":\"$ENGINE_OMAHEKE\",\"region\":\"omaheke\",\"data_centre\":\"omaheke-1\",\"routes\":[\"narrative\"]}"
    put_record backend_servers bookings-khomas "{\"schema\":1,\"kind\":\"service\",\"endpoint\":\"$BOOKINGS\",\"region\":\"khomas\",\"data_centre\":\"khomas-1\",\"routes\":[\"bookings\"]}"
}

write_live_list() {
    local region callers peers entries=()
    for region in "${REGIONS[@]}"; do
        callers=${region}_1_callers
        peers=${region}_1_peers
        entries+=("{\"id\":\"$region-1\",\"region\":\"$region\",\"data_centre\":\"$region-1\",\"callers\":\"${!callers}\",\"peers\":\"${!peers}\"}")
    done
    curl -sS -X PUT "http://$LIVE/v1/live" -o "$WORK/live.log" \
        -d "{\"instances\":[$(IFS=,; echo "${entries[*]}")],\"backend_servers\":[]}"
}

# Starts all processes and waits until each instance has the records and lists the others.
start_deployment() {
    local region operators
    WORK=$(mktemp -d)
    echo '{"instances":[],"backend_servers":[]}' >"$WORK/live.json"
    start_stand_in STORE store store
    start_stand_in LIVE live live --file "$WORK/live.json" --lag-ms 0
    start_stand_in ENGINE_KHOMAS engine-khomas engine --name engine-khomas
    start_stand_in ENGINE_OMAHEKE engine-omaheke engine --name engine-omaheke
    start_stand_in BOOKINGS bookings service --run-ms "${BOOKING_RUN_MS:-5}"
    for region in "${REGIONS[@]}"; do
        write_settings "$region-1" "$region" "$region-1"
        start_instance "$region-1"
    done
    write_live_list
    write_records
    for region in "${REGIONS[@]}"; do
        operators=${region}_1_operators
        await_status "${!operators}" '"instances":3.*"records":9'
    done
}

# Waits until the status of the instance with the operators' listener $1 matches $2.
await_status() {
    IBISTURN_OPERATOR_KEY=$OPERATOR_KEY timeout 10 bash -c "until '$BIN/ibisturn' status --json --instance '$1' | grep -q '$2'; do sleep 0.05; done"
}

stop_deployment() {
    local pid
    for pid in "${DEPLOYMENT_PIDS[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait "${DEPLOYMENT_PIDS[@]}" 2>/dev/null || true
    [ -n "${WORK:-}" ] && rm -rf "$WORK"
    return 0
}
