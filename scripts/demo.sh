#!/usr/bin/env bash
# Demo: starts a local deployment, sends a request of each kind and exits.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh
source scripts/deployment.sh
start_deployment

echo "== ticket 1"
ctl ticket submit "$work/ticket-1.yaml"
wait_for_ticket 1

echo "== an idempotent request, a seal post and a leaf claim"
caller get "$custody" /info
caller post "$custody" /seal seal-0001
caller post "$vault" /claim claim-0001

echo "== an audit dossier of 1 MB"
caller fetch "$dossier" /dossier

echo "== an opaque datagram service"
caller datagram "$beacon" hello --count 3

echo "== a custody feed, while a balancer is killed"
caller observe "$custody" /feed --seconds 8 &
feed=$!
sleep 3
kill -KILL "${pids[balancer-1]}"
wait "$feed"

echo "== ticket 2"
ctl ticket submit "$work/ticket-2.yaml"
wait_for_ticket 2
ctl status || true
ctl ticket history
echo "== done"
