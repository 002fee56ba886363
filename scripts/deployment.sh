# A small deployment on loopback: a store, a fabric, three balancers, and four
# services with two upstreams each. Sourced by demo.sh and the process tests.
#
# Each process has its own loopback addresses, so that ports never collide. SITE
# (200 to 254) is the third octet of all addresses, so that several deployments
# can run at the same time; the process tests use sites below 200.

bin="${BIN_DIR:-$PWD/build/bin}"
site="${SITE:-200}"
work="$(mktemp -d)"
declare -A pids

custody="127.53.$site.1:5683"
dossier="127.53.$site.2:5683"
vault="127.53.$site.3:5683"
beacon="127.53.$site.4:9000"
store="127.40.$site.1:8500"
fabric_control="127.40.$site.2:8600"
frame_key=00112233445566778899aabbccddeeff

stop_deployment() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_deployment EXIT

# run NAME COMMAND...: starts a background process, with its id in pids[NAME] and
# its output in $work/NAME.log.
run() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

ctl() { "$bin/cowslipctl" "$@" --settings "$work/ctl.yaml"; }
caller() { "$bin/standin-caller" "$@"; }

write_common() {  # NAME ADDRESS
  cat <<YAML
instance: $1
data_center: callao
store: {urls: ["http://$store"], timeout: 1s}
frame_key: $frame_key
http: $2:8080
control: $2:7001
drain_timeout: 10s
YAML
}

start_balancer() {  # NUMBER
  local i=$1
  {
    write_common "balancer-$i" "127.20.$site.$i"
    echo "balancer: {id: $i, frames: 127.20.$site.$i:7000, entry_prefix: 127.$((100 + i)).0.0}"
  } >"$work/balancer-$i.yaml"
  run "balancer-$i" "$bin/cowslipd" balancer --settings "$work/balancer-$i.yaml"
}

start_upstream() {  # SERVICE NUMBER PROTOCOL [options of the stand-in]
  local service=$1 i=$2 protocol=$3
  shift 3
  run "upstream-$service$i" "$bin/standin-upstream" --listen "127.30.$site.$service$i:6000" \
    --protocol "$protocol" --name "upstream-$service$i" --slots 7 \
    --journal "$work/journal" "$@"
}

start_sidecar() {  # SERVICE NUMBER
  local service=$1 i=$2
  {
    write_common "sidecar-$service$i" "127.21.$site.$service$i"
    echo "sidecar: {id: $service$i, service: $service, frames: 127.21.$site.$service$i:7000, upstream: 127.30.$site.$service$i:6000, slots: 7}"
  } >"$work/sidecar-$service$i.yaml"
  run "sidecar-$service$i" "$bin/cowslipd" sidecar --settings "$work/sidecar-$service$i.yaml"
}

write_tickets() {
  cat >"$work/ticket-1.yaml" <<YAML
ticket: 1
author: quispe
note: first services
services:
  - {id: 1, name: custody, address: "$custody", protocol: coap, prefer: balance, idle_timeout: 60s}
  - {id: 2, name: dossier, address: "$dossier", protocol: coap, prefer: balance, idle_timeout: 60s}
  - {id: 3, name: vault, address: "$vault", protocol: coap, prefer: continuity, idle_timeout: 60s}
  - {id: 4, name: beacon, address: "$beacon", protocol: datagram, prefer: continuity, idle_timeout: 60s}
YAML
  cat >"$work/ticket-2.yaml" <<YAML
ticket: 2
author: nguyen
note: longer idle time for the vault
services:
  - {id: 3, name: vault, address: "$vault", protocol: coap, prefer: continuity, idle_timeout: 90s}
YAML
}

write_ctl_settings() {
  {
    echo "store: {urls: [\"http://$store\"], timeout: 1s}"
    echo "instances:"
    local i
    for i in 1 2 3; do
      echo "  - {name: balancer-$i, http: \"127.20.$site.$i:8080\"}"
    done
  } >"$work/ctl.yaml"
}

start_deployment() {
  write_tickets
  write_ctl_settings
  run store "$bin/standin-store" --listen "$store"
  sleep 0.3
  run fabric "$bin/standin-fabric" --vip "$custody" --vip "$dossier" --vip "$vault" --vip "$beacon" \
    --balancer 127.101.0.0 --balancer 127.102.0.0 --balancer 127.103.0.0 \
    --control "$fabric_control" --seed "${SEED:-1}"
  local i service protocol
  for i in 1 2 3; do start_balancer "$i"; done
  for service in 1 2 3 4; do
    protocol=coap
    [ "$service" = 4 ] && protocol=datagram
    for i in 1 2; do
      start_upstream "$service" "$i" "$protocol"
      start_sidecar "$service" "$i"
    done
  done
}

# wait_for_ticket N: waits until ticket N is in force at every running balancer.
# Fails after 100 attempts, 0.1 s apart.
wait_for_ticket() {
  local wanted=$1 attempt i all
  for attempt in $(seq 100); do
    all=yes
    for i in 1 2 3; do
      kill -0 "${pids[balancer-$i]}" 2>/dev/null || continue
      (ctl status 2>/dev/null || true) | grep -q "instance=balancer-$i .*\"ticket\":$wanted" || all=no
    done
    [ "$all" = yes ] && return 0
    sleep 0.1
  done
  echo "ticket $wanted is not in force at all running balancers" >&2
  return 1
}
