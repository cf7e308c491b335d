#!/usr/bin/env bash
# Runs both programs briefly on loopback ports and stores the classes that they load in target/*.jsa.
set -eu
cd "$(dirname "$0")/.."
jar=target/fulmarshunt-0.1.0-SNAPSHOT.jar
if [ target/fleet-entry.jsa -nt "$jar" ] && [ target/fleet-control.jsa -nt "$jar" ]; then exit 0; fi
work="$(pwd)/target/archive-classes"
rm -rf "$work" target/fleet-entry.jsa target/fleet-control.jsa
mkdir -p "$work/data"

flags=(-Xms24m -Xmx112m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1
    -Dio.netty.allocator.type=unpooled -Dlog4j2.configurationFile=log4j2-fleet.xml)
link='[link]
port = 17200
secret = "class-archive-training"
[control]
seeds = ["127.0.0.1:17201"]'
cat > "$work/control.toml" <<TOML
[vm]
id = "control"
failure_domain = "here"
ip = "127.0.0.1"
$link
[data]
directory = "$work/data"
[listen]
requests = "127.0.0.1:17201"
metrics = "127.0.0.1:17202"
[formation]
bootstrap = true
[targets]
period_ms = 1000
TOML
cat > "$work/entry.toml" <<TOML
[vm]
id = "entry"
failure_domain = "here"
ip = "127.0.0.1"
$link
[listen]
callers = "127.0.0.1:17203"
readiness = "127.0.0.1:17204"
metrics = "127.0.0.1:17205"
[shutdown]
grace_s = 4.0
TOML

start() {
    java "${flags[@]}" -XX:ArchiveClassesAtExit="target/$1.jsa" -Xlog:disable -cp "$jar" "$2" \
        --settings "$work/$3" > "$work/$1.out" 2>&1 &
}
call() { # PORT METHOD PATH BODY
    {
        exec 3<> "/dev/tcp/127.0.0.1/$1"
        printf '%s %s HTTP/1.1\r\nHost: train.example\r\nConnection: close\r\nFulmarshunt-Request-Id: t\r\n' "$2" "$3" >&3
        printf 'Content-Length: %d\r\n\r\n%s' "${#4}" "$4" >&3
        timeout 3 head -1 <&3
        exec 3>&-
    } 2> /dev/null || true
}
start fleet-control fulmarshunt.platform.FleetControlKt control.toml
control=$!
start fleet-entry fulmarshunt.platform.FleetEntryKt entry.toml
entry=$!
trap 'kill -9 $control $entry 2> /dev/null || true' EXIT
configuration='{"version":1,"routes":[{"name":"r","host":"train.example","path_prefix":"/r/","type":"safe","timeout_ms":500,"slo_ms":100,"service":"s"}],"services":[{"name":"s"}]}'
announcement='{"service":"s","address":"127.0.0.1:17206","zone":"here","slots":1,"state":"ready","seq":1,"born":1}'
for _ in $(seq 1 60); do
    sleep 0.25
    if call 17201 POST /api/config/replace "$configuration" | grep -q 200; then break; fi
done
call 17201 GET /api/config/get ""
call 17201 POST /api/instances/i/heartbeat "$announcement"
sleep 1
call 17204 GET /api/ready ""
call 17203 GET /r/x ""
call 17203 GET /unknown ""
kill -TERM $control $entry
wait $control || true
wait $entry || true
ls -l target/fleet-control.jsa target/fleet-entry.jsa
