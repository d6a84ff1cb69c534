#!/usr/bin/env bash
# Runs a deployment on one machine, each process by itself: the platform's
# stand-ins, six engines and two booking services over three failure domains,
# and six entry instances. Publishes its example, sends prompts and bookings,
# prints the measures and stops everything by process id. The exit status is
# not 0 when a request broke a promise or failed, when a process ended early, or
# when one did not stop cleanly.
#
# usage: demo.sh [cantonal|charter]
set -euo pipefail
cd "$(dirname "$0")/.."

# What differs between the deployments. The accounts that book are those within
# their rate, since each booking must be confirmed.
case ${1:-cantonal} in
  cantonal)
    readonly example=examples/demo model=reports engine=draft
    readonly domains=(vaud-nord vaud-centre vaud-sud)
    readonly profiles=(examples/demo-load.ini)
    readonly booking_path=/bookings booking_accounts=inspections,dispatch,archive,training
    ;;
  charter)
    readonly example=examples/demo-charter model=skipper engine=assistant
    readonly domains=(kul-a kul-b kul-c)
    readonly profiles=(examples/demo-charter-checks.ini examples/demo-charter-logs.ini)
    readonly booking_path=/seats/confirm booking_accounts=skipper-assistant,angler-web,night-desk
    ;;
  *)
    echo "usage: demo.sh [cantonal|charter]" >&2
    exit 2
    ;;
esac

readonly host=127.0.0.1
# The examples name ports from 21000 on; DEMO_PORT_BASE moves them all, by whole
# thousands, so that two demos can run on one machine.
readonly base=${DEMO_PORT_BASE:-21000}
readonly log_port=$((base + 1)) instances_port=$((base + 2)) weights_port=$((base + 3))
readonly target_ports=($((base + 101)) $((base + 102)) $((base + 103)) $((base + 104)) $((base + 105)) $((base + 106))
  $((base + 201)) $((base + 202)))
readonly caller_ports=($((base + 301)) $((base + 302)) $((base + 303)) $((base + 304)) $((base + 305)) $((base + 306)))
readonly peer_ports=($((base + 311)) $((base + 312)) $((base + 313)) $((base + 314)) $((base + 315)) $((base + 316)))
readonly admin_ports=($((base + 321)) $((base + 322)) $((base + 323)) $((base + 324)) $((base + 325)) $((base + 326)))
readonly duration=${DEMO_DURATION:-20s}
readonly run=${DEMO_RUN_DIR:-$(mktemp -d)}
readonly seed=${DEMO_SEED:-1}

pids=()
names=()

# start NAME COMMAND... runs a process with its output in $run/NAME.log and its
# id in $run/NAME.pid.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
  echo $! >"$run/$name.pid"
}

# stop_all ends every process, newest first, and fails for one that does not
# end by itself within ten seconds or ends with an error.
stop_all() {
  local failed=0 i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    if ! stop "${pids[i]}"; then
      echo "demo: ${names[i]} did not stop cleanly, see $run/${names[i]}.log" >&2
      failed=1
    fi
  done
  pids=()
  return $failed
}

stop() {
  local pid=$1 waited
  kill -TERM "$pid" 2>/dev/null || { wait "$pid" || true; return 1; }
  for ((waited = 0; waited < 100; waited++)); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL "$pid" 2>/dev/null || true
  wait "$pid"
}

finish() {
  local status=$?
  trap - EXIT
  stop_all || status=1
  if ((status != 0)); then
    echo "demo: failed, logs in $run" >&2
  fi
  exit $status
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# wait_for SECONDS COMMAND... tries a command until it succeeds.
wait_for() {
  local tries=$(($1 * 10))
  shift
  until "$@" 2>/dev/null; do
    all_running || return 1
    ((tries-- > 0)) || { echo "demo: gave up on: $*" >&2; return 1; }
    sleep 0.1
  done
}

listens() { (exec 3<>"/dev/tcp/$host/$1"); }

ready() {
  (
    exec 3<>"/dev/tcp/$host/$1"
    printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3
    head -n 1 <&3 | grep -q ' 200 '
  )
}

all_running() {
  local i
  for i in "${!pids[@]}"; do
    kill -0 "${pids[i]}" 2>/dev/null || { echo "demo: ${names[i]} ended early" >&2; return 1; }
  done
}

domain_of() { echo "${domains[$((($1 - 1) / 2))]}"; }

# instance_list prints the platform's view of all instances.
instance_list() {
  local i sep=
  printf '{"instances":['
  for i in 1 2 3 4 5 6; do
    printf '%s{"id":"entry-%d","address":"%s:%d","domain":"%s","role":"entry","state":"live"}' \
      "$sep" "$i" "$host" $((base + 310 + i)) "$(domain_of "$i")"
    sep=,
    printf ',{"id":"%s-%d","address":"%s:%d","domain":"%s","role":"target","state":"live"}' \
      "$engine" "$i" "$host" $((base + 100 + i)) "$(domain_of "$i")"
  done
  printf ',{"id":"booking-1","address":"%s:%d","domain":"%s","role":"target","state":"live"}' "$host" $((base + 201)) "${domains[0]}"
  printf ',{"id":"booking-2","address":"%s:%d","domain":"%s","role":"target","state":"live"}' "$host" $((base + 202)) "${domains[2]}"
  printf ']}\n'
}

start_platform() {
  instance_list >"$run/instances.json"
  start log bin/mastictray-standin log --listen "$host:$log_port"
  start instances bin/mastictray-standin instances --listen "$host:$instances_port" --initial "$run/instances.json"
  start weights bin/mastictray-standin weights --listen "$host:$weights_port"
}

start_targets() {
  local i fencing
  for i in 1 2 3 4 5 6; do
    fencing=--checks-fencing
    ((i % 2)) || fencing=--no-checks-fencing
    start "$engine-$i" bin/mastictray-standin engine --listen "$host:$((base + 100 + i))" \
      --model "$model" --cache-pieces 48 --prefill-tps 40000 --seed "$i" \
      --weights "http://$host:$weights_port" $fencing
  done
  start booking-1 bin/mastictray-standin service --listen "$host:$((base + 201))" --name booking-1
  start booking-2 bin/mastictray-standin service --listen "$host:$((base + 202))" --name booking-2
}

start_entries() {
  local i peers
  (umask 077 && head -c 32 /dev/urandom | base64 >"$run/peer-secret")
  peers=$(printf "$host:%d," "${peer_ports[@]}")
  for i in 1 2 3 4 5 6; do
    start "entry-$i" bin/mastictray-entry --instance-id "entry-$i" --domain "$(domain_of "$i")" \
      --caller-listen "$host:$((base + 300 + i))" --peer-listen "$host:$((base + 310 + i))" \
      --admin-listen "$host:$((base + 320 + i))" --log-url "http://$host:$log_port" \
      --instances-url "http://$host:$instances_port" --peers "${peers%,}" \
      --peer-secret-file "$run/peer-secret" --fleet-domains "$(IFS=,; echo "${domains[*]}")" \
      --balancer-lag 500ms --drain-timeout 8s
  done
}

# load PROFILE NAME ARGS... sends a profile's traffic for the whole run, or its
# bookings, and keeps the report as NAME.json.
load() {
  local profile=$1 name=$2 entries
  shift 2
  entries=$(printf "http://$host:%d," "${caller_ports[@]}")
  bin/mastictray-load --profile "$profile" --entry "${entries%,}" --seed "$seed" --output "$run/$name.json" "$@"
}

# send runs the bookings beside the prompts and fails when any of them does.
# The last profile is shown as it goes, the others when they are done.
send() {
  local last=$((${#profiles[@]} - 1)) status=0 senders=() reports=() i
  load "${profiles[last]}" bookings --bookings --booking-path "$booking_path" --booking-accounts "$booking_accounts" \
    --booking-count 100 --bookings-per-second 10 \
    --service "http://$host:$((base + 201)),http://$host:$((base + 202))" --min-answered 1 >"$run/bookings.txt" 2>&1 &
  senders+=($!)
  reports+=("$run/bookings.txt")
  for ((i = 0; i < last; i++)); do
    load "${profiles[i]}" "load-$i" --duration "$duration" >"$run/load-$i.txt" 2>&1 &
    senders+=($!)
    reports+=("$run/load-$i.txt")
  done
  load "${profiles[last]}" load --duration "$duration" || status=1
  for i in "${!senders[@]}"; do
    wait "${senders[i]}" || status=1
    echo
    grep -v '^elapsed=' "${reports[i]}"
  done
  return $status
}

# config copies the example with the ports of this run.
config() {
  local file
  mkdir -p "$run/config"
  for file in "$example"/*.ini; do
    sed "s/$host:21/$host:$((base / 1000))/" "$file" >"$run/config/${file##*/}"
  done
}

for port in $log_port $instances_port $weights_port "${target_ports[@]}" "${caller_ports[@]}" "${peer_ports[@]}" "${admin_ports[@]}"; do
  if listens "$port" 2>/dev/null; then
    echo "demo: port $port is taken; set DEMO_PORT_BASE" >&2
    exit 1
  fi
done
config
start_platform
start_targets
for port in $log_port $instances_port $weights_port "${target_ports[@]}"; do
  wait_for 5 listens "$port"
done
bin/mastictray --log "http://$host:$log_port" publish --as demo --root "$run/config" "$run/config"
start_entries
for port in "${admin_ports[@]}"; do
  wait_for 10 ready "$port"
done
all_running
status=0
send || status=1
all_running || status=1
exit $status
