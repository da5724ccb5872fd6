#!/usr/bin/env bash
# Tests the configuration of three instances in one data centre while instances are killed and frozen and the store is down.
# Usage: ConfigurationTest.sh FOLDER, the folder of the built programs.
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$(realpath "$1")
STAND_INS="$BIN/Tests"
# shellcheck source=Meta/deployment.sh
. Meta/deployment.sh
# Stopping the deployment fails for a process that a step has already killed.
trap "set +e; stop_deployment" EXIT
WORK=$(mktemp -d)
export IBISTURN_OPERATOR_KEY=$OPERATOR_KEY
INSTANCES=(khomas-1 khomas-2 khomas-3)

operators_of() {
    local variable=${1//-/_}_operators
    echo "${!variable}"
}

ctl() {
    "$BIN/ibisturn" ctl --json --instance "$(operators_of "$CONTACT")" "$@"
}

# await INSTANCE PATTERN: waits until the status of the instance matches the pattern.
await() {
    timeout 20 bash -c "until '$BIN/ibisturn' status --json --instance '$(operators_of "$1")' 2>/dev/null | grep -qE '$2'; do sleep 0.05; done" || {
        echo "the status of $1 did not match $2: $("$BIN/ibisturn" status --json --instance "$(operators_of "$1")")" >&2
        cat "$WORK/$1.log" >&2
        return 1
    }
}

start() {
    write_settings "$1" khomas khomas-1
    start_instance "$1"
    declare -g "pid_${1//-/_}=${DEPLOYMENT_PIDS[-1]}"
}

list_instances() {
    local instance callers peers entries=()
    for instance in "${INSTANCES[@]}"; do
        callers=${instance//-/_}_callers
        peers=${instance//-/_}_peers
        entries+=("{\"id\":\"$instance\",\"region\":\"khomas\",\"data_centre\":\"khomas-1\",\"callers\":\"${!callers}\",\"peers\":\"${!peers}\"}")
    done
    curl -sS -X PUT "http://$LIVE/v1/live" -o "$WORK/live.log" -d "{\"instances\":[$(IFS=,; echo "${entries[*]}")],\"backend_servers\":[]}"
}

# expect PATTERN COMMAND...: runs the command and checks that a line of its output matches; prints the output otherwise.
expect() {
    local pattern=$1
    shift
    "$@" >"$WORK/output" 2>&1 || true
    grep -q "$pattern" "$WORK/output" || {
        echo "no output line of '$*' matches '$pattern':" >&2
        cat "$WORK/output" >&2
        return 1
    }
}

revision() { grep -oE '"revision":[0-9]+' <<<"$1" | cut -d: -f2; }

echo '{"instances":[],"backend_servers":[]}' >"$WORK/live.json"
start_stand_in STORE store store
start_stand_in LIVE live live --file "$WORK/live.json" --lag-ms 0
for instance in "${INSTANCES[@]}"; do start "$instance"; done
list_instances
CONTACT=khomas-1

# A dry run shows the difference without writing; apply writes it in one transaction; a second apply finds no difference.
mkdir "$WORK/records"
digest=$(printf '%s\n' "$CALLER_KEY" | "$BIN/ibisturn" digest)
cat >"$WORK/records/all.yaml" <<YAML
- {kind: keys, name: "$digest", record: {schema: 1, workspace: guides}}
- {kind: workspaces, name: guides, record: {schema: 1, residency: home, rate: 1000, burst: 5000}}
- {kind: residency, name: home, record: {schema: 1, regions: [khomas]}}
YAML
await khomas-1 '"readiness":"ready"'
expect 'Nothing written' ctl apply "$WORK/records" --dry-run
expect '3 records written' ctl apply "$WORK/records"
expect 'No difference' ctl apply "$WORK/records"
for instance in "${INSTANCES[@]}"; do await "$instance" '"records":3'; done

# A residency rule that is in use can't be withdrawn, and a write whose reply is lost is resolved.
expect 'workspaces/guides: residency names residency/home' ctl withdraw residency home
curl -sS -X POST "http://$STORE/faults" -d '{"lose_replies":1}' >/dev/null
written=$(revision "$(ctl withdraw keys "$digest")")
for instance in "${INSTANCES[@]}"; do await "$instance" "\"revision\":$written"; done
expect '"who":"example"' ctl history keys "$digest"

# Another instance takes over from a frozen watcher, which catches up after it is thawed.
watcher=
for instance in "${INSTANCES[@]}"; do
    "$BIN/ibisturn" status --json --instance "$(operators_of "$instance")" | grep -q '"watcher":true' && watcher=$instance
done
for instance in "${INSTANCES[@]}"; do [ "$instance" != "$watcher" ] && CONTACT=$instance; done
variable=pid_${watcher//-/_}
kill -STOP "${!variable}"
written=$(revision "$(ctl apply "$WORK/records" | grep '"revision"')")
for instance in "${INSTANCES[@]}"; do [ "$instance" = "$watcher" ] || await "$instance" "\"revision\":$written"; done
kill -CONT "${!variable}"
await "$watcher" "\"readiness\":\"ready\".*\"revision\":$written"

# While the store is down, a restarted instance loads its configuration from its peers.
curl -sS -X POST "http://$STORE/faults" -d '{"down":true}' >/dev/null
kill -KILL "${!variable}"
start "$watcher"
list_instances
await "$watcher" "\"readiness\":\"ready\".*\"revision\":$written"

# While the store is down, a key is withdrawn in the memory of all instances; it is withdrawn in the store once that is available.
CONTACT=$watcher
expect 'the store follows' ctl withdraw keys "$digest"
for instance in "${INSTANCES[@]}"; do await "$instance" "\"records\":2,.*\"revision\":$written"; done
curl -sS -X POST "http://$STORE/faults" -d '{"down":false}' >/dev/null
for instance in "${INSTANCES[@]}"; do await "$instance" "\"records\":2,.*\"revision\":$((written + 1))"; done
echo "configuration: ok"
