#!/usr/bin/env bash
# An instance reloads its TLS certificate while a stream is running, without dropping a connection, and ignores a certificate
# that does not match its key. Usage: TlsReload.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$(realpath "$1")
STAND_INS="$BIN/Tests"
# shellcheck source=Meta/deployment.sh
. Meta/deployment.sh
trap stop_deployment EXIT

make_certificate() {
    openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2 -subj "/CN=$1" \
        -addext "subjectAltName=IP:127.0.0.1" -keyout "$WORK/$1.key" -out "$WORK/$1.crt" 2>/dev/null
}

WORK=$(mktemp -d)
make_certificate first
make_certificate second
cp "$WORK/first.crt" "$WORK/callers.crt"
cp "$WORK/first.key" "$WORK/callers.key"
echo '{"instances":[],"backend_servers":[]}' >"$WORK/live.json"
start_stand_in STORE store store
start_stand_in LIVE live live --file "$WORK/live.json" --lag-ms 0
start_stand_in ENGINE_KHOMAS engine-khomas engine --name engine-khomas --tokens 300 --token-ms 10
ENGINE_OMAHEKE=$ENGINE_KHOMAS
BOOKINGS=$ENGINE_KHOMAS
write_settings khomas-1 khomas khomas-1
sed -i "s#^callers: .*#callers: {listen: \"127.0.0.1:0\", tls: {certificate: $WORK/callers.crt, private_key: $WORK/callers.key}}#" "$WORK/khomas-1.yaml"
start_instance khomas-1
write_records
await_status "$khomas_1_operators" '"records":9'
until curl -sf --cacert "$WORK/first.crt" "https://$khomas_1_callers/readyz" -o /dev/null; do sleep 0.02; done

# The running stream continues on the connection with the first certificate.
curl -sS -N --cacert "$WORK/first.crt" "https://$khomas_1_callers/v1/chat/completions" -H "Authorization: Bearer $CALLER_KEY" \
    -d '{"model":"short","stream":true,"messages":[]}' >"$WORK/stream" &
stream=$!
await_line "$WORK/stream" 'engine-khomas-0' >/dev/null
cp "$WORK/second.key" "$WORK/callers.key"
await_line "$WORK/khomas-1.log" 'tls: Certificate not valid' >/dev/null
curl -sf --cacert "$WORK/first.crt" "https://$khomas_1_callers/readyz" -o /dev/null
cp "$WORK/second.crt" "$WORK/callers.crt"
await_line "$WORK/khomas-1.log" 'tls: Certificate in force' >/dev/null
curl -sf --cacert "$WORK/second.crt" "https://$khomas_1_callers/readyz" -o /dev/null
if curl -sf --cacert "$WORK/first.crt" "https://$khomas_1_callers/readyz" -o /dev/null; then
    echo "the first certificate is still in force" >&2
    exit 1
fi
wait "$stream"
grep -q 'engine-khomas-299' "$WORK/stream"
grep -q '^data: \[DONE\]' "$WORK/stream"
echo "tls reload: ok"
