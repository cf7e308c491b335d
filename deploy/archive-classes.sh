#!/usr/bin/env bash
# Runs both programs on loopback ports as they serve requests, and stores the classes that they load in target/*.jsa.
# Three control VMs elect a leader and an entry VM relays requests to a target; another entry VM is asked to forward
# connections to one that has gone. A step that fails ends the script.
set -eu
cd "$(dirname "$0")/.."
jar=target/fulmarshunt-0.1.0-SNAPSHOT.jar
if [ target/fleet-entry.jsa -nt "$jar" ] && [ target/fleet-control.jsa -nt "$jar" ]; then exit 0; fi
work="$(pwd)/target/archive-classes"
rm -rf "$work" target/fleet-entry.jsa target/fleet-control.jsa
mkdir -p "$work"

flags=(-Xms24m -Xmx112m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dio.netty.allocator.type=unpooled)
common() { # ID IP
    cat <<TOML
[vm]
id = "$1"
failure_domain = "here"
ip = "$2"
[link]
port = 17200
secret = "class-archive-training"
[control]
seeds = ["127.0.0.1:17201", "127.0.0.2:17201", "127.0.0.3:17201"]
TOML
}
for number in 1 2 3; do
    mkdir -p "$work/data-$number"
    {
        common "control-$number" "127.0.0.$number"
        cat <<TOML
[data]
directory = "$work/data-$number"
[listen]
requests = "127.0.0.$number:17201"
metrics = "127.0.0.$number:17202"
[formation]
bootstrap = true
[targets]
period_ms = 1000
TOML
    } > "$work/control-$number.toml"
done
for number in 1 2; do
    {
        common "entry-$number" "127.0.0.$((number + 3))"
        cat <<TOML
[listen]
callers = "127.0.0.$number:17203"
readiness = "127.0.0.$number:17204"
metrics = "127.0.0.$number:17205"
forwarding = "127.0.0.$number:17207"
[shutdown]
grace_s = 4.0
TOML
    } > "$work/entry-$number.toml"
done

pids=()
trap 'kill -9 "${pids[@]}" 2> /dev/null || true' EXIT
start() { # PROGRAM CLASS SETTINGS [FLAG...]
    local program=$1 class=$2 settings=$3
    shift 3
    java "${flags[@]}" "$@" -Xlog:disable -cp "$jar" "$class" --settings "$work/$settings.toml" \
        > "$work/$settings.out" 2>&1 &
    pids+=($!)
}
call() { # IP PORT METHOD PATH BODY [HEADER]; prints the response
    local ip=$1 port=$2
    {
        exec 3<> "/dev/tcp/$ip/$port"
        printf '%s %s HTTP/1.1\r\nHost: train.example\r\nConnection: close\r\nApi-Key: key\r\n' "$3" "$4" >&3
        printf 'Fulmarshunt-Request-Id: t%s\r\nFulmarshunt-Deadline-Ms: 5000\r\n' "$RANDOM" >&3
        printf '%sContent-Length: %d\r\n\r\n%s' "${6:-}" "${#5}" "$5" >&3
        timeout 5 cat <&3
        exec 3>&-
    } 2> /dev/null || true
}
expect() { # TEXT IP PORT METHOD PATH BODY [HEADER]; repeats a call until its response has the text
    local text=$1
    shift
    for _ in $(seq 1 120); do
        if call "$@" | grep -q "$text"; then return; fi
        sleep 0.25
    done
    echo "the training run failed: no response with \"$text\" to $3 $4" >&2
    tail -5 "$work"/*.out >&2
    exit 1
}
java deploy/TrainingTarget.java 17206 > "$work/target.out" 2>&1 &
pids+=($!)
start fleet-control fulmarshunt.platform.FleetControlKt control-1 -XX:ArchiveClassesAtExit=target/fleet-control.jsa
control=$!
start fleet-control fulmarshunt.platform.FleetControlKt control-2
start fleet-control fulmarshunt.platform.FleetControlKt control-3
start fleet-entry fulmarshunt.platform.FleetEntryKt entry-1 -XX:ArchiveClassesAtExit=target/fleet-entry.jsa
entry=$!
start fleet-entry fulmarshunt.platform.FleetEntryKt entry-2

route() { # NAME PREFIX TYPE SERVICE
    printf '{"name":"%s","host":"train.example","path_prefix":"%s","type":"%s","timeout_ms":5000,"slo_ms":1000,' \
        "$1" "$2" "$3"
    printf '"gap_slo_ms":180,"service":"%s","max_attempts":2,"priority":1}' "$4"
}
configuration() { # VERSION
    printf '{"version":%s,"routes":[%s,%s,%s,%s,%s],' "$1" "$(route a /safe/ safe plain)" \
        "$(route b /unsafe/ unsafe plain)" "$(route c /refused/ safe plain)" "$(route d /stream/ stream engine)" \
        "$(route e /gone/ safe gone)"
    printf '"services":[{"name":"plain"},{"name":"gone"},{"name":"engine","engine":{"slots":8,"kv_capacity":20000,"moves":true,'
    printf '"backups":true,"stride":4}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,'
    printf '"header_timeout_ms":3000,"idle_timeout_ms":15000},'
    printf '"tenants":[{"name":"tenant","api_keys":["key"],"priority":1}]}'
}
announcement() { # SERVICE SEQUENCE [PORT]
    printf '{"service":"%s","address":"127.0.0.1:%s","zone":"here","slots":8,"state":"ready",' "$1" "${3:-17206}"
    printf '"cold_remaining_ms":0,"seq":%s,"born":1}' "$2"
}
tokens=$'Fulmarshunt-Token-Counts: 100,200\r\nFulmarshunt-Prefix-Hash: ab:50,cd:50\r\n'
expect ' 200 ' 127.0.0.1 17201 POST /api/config/replace "$(configuration 1)"
expect ' 200 ' 127.0.0.2 17201 POST /api/config/replace "$(configuration 2)"
expect '"version":2' 127.0.0.1 17201 GET /api/config/get ""
expect ' 200 ' 127.0.0.1 17201 POST /api/evacuation/there/start ""
# An address belongs to the target that was announced there last, so that the services take turns.
expect ' 200 ' 127.0.0.1 17201 POST /api/instances/plain/heartbeat "$(announcement plain 1)"
for _ in 1 2 3; do
    expect ' 200 ' 127.0.0.1 17203 GET /safe/x ""
    expect ' 200 ' 127.0.0.1 17203 POST /unsafe/x body
    expect ' 503 ' 127.0.0.1 17203 GET /refused/x ""
done
# No process listens at the port, so that the other entry VM is asked to forward the connection.
expect ' 200 ' 127.0.0.1 17201 POST /api/instances/gone/heartbeat "$(announcement gone 1 17208)"
for _ in 1 2 3; do
    for number in 1 2; do expect ' 503 ' 127.0.0.$number 17203 GET /gone/x ""; done
done
expect ' 200 ' 127.0.0.1 17201 POST /api/instances/engine/heartbeat "$(announcement engine 1 | sed s/born\":1/born\":2/)"
for _ in 1 2 3; do expect 'id: 20' 127.0.0.1 17203 POST /stream/x prompt "$tokens"; done
expect ' 404 ' 127.0.0.1 17203 GET /unknown ""
expect ' 200 ' 127.0.0.1 17204 GET /api/ready ""
expect ' 200 ' 127.0.0.1 17201 POST /api/instances/engine/deregister '{"born":2}'
kill -TERM $control $entry
wait $control || true
wait $entry || true
ls -l target/fleet-control.jsa target/fleet-entry.jsa
