#!/usr/bin/env bash
# Runs one of the example deployments on loopback: builds the programs, starts three daemons and their
# backend servers, applies the schema, sends calls, prints outcomes and latencies, and stops everything.
#
# usage: examples/demo.sh agency|tailors [--kill-one|--keep]
#   --kill-one  kills one daemon while calls are being sent, so that some calls may end as not-run or unknown
#   --keep      leaves everything running until interrupted, to try the commands of docs/OPERATING.md
set -euo pipefail

name=${1:-agency}
option=${2:-}
top=$(cd "$(dirname "$0")/.." && pwd)
example="$top/examples/$name"
if [ ! -f "$example/schema.json" ]; then
  echo "usage: examples/demo.sh agency|tailors [--kill-one|--keep]" >&2
  exit 2
fi

cargo build --quiet --release --manifest-path "$top/Cargo.toml"
bin="${CARGO_TARGET_DIR:-$top/target}/release"
work=$(mktemp -d "${TMPDIR:-/tmp}/clementinefold-$name.XXXXXX")
pids=()
killed=

stop_all() {
  for pid in "${pids[@]}"; do
    [ "$pid" = "$killed" ] || kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
finish() {
  status=$?
  stop_all
  if [ "$status" = 0 ]; then rm -rf "$work"; else echo "logs are kept in $work" >&2; fi
}
trap finish EXIT
trap 'exit 0' INT TERM

# Generate keys for this run only.
for file in peer.keys operator.keys; do
  od -An -N32 -tx1 /dev/urandom | tr -d ' \n' > "$work/$file"
done
cd "$work"

callers=()
operator=
daemon_pids=()
daemon_logs=()
for settings in "$example"/settings/*.json; do
  host=$(basename "$settings" .json)
  "$bin/clementined" --settings "$settings" 2> "$host.log" &
  pids+=($!)
  daemon_pids+=($!)
  daemon_logs+=("$host.log")
  callers+=(--address "$(sed -n 's/.*"caller_address": "\(.*\)".*/\1/p' "$settings")")
  operator=$(sed -n 's/.*"operator_address": "\(.*\)".*/\1/p' "$settings")
done
while read -r service address daemon report slots connections; do
  case $service in \#*) continue ;; esac
  "$bin/clementine-standin" --service "$service" --address "$address" --daemon "$daemon" --report "$report" \
    --slots "$slots" --connections "$connections" --checks-fencing 2> "server-$address.log" &
  pids+=($!)
done < "$example/servers.txt"

# Exits with the last log lines of a daemon that has ended, e.g. because another run holds its addresses, so that a
# failed start is not mistaken for a slow one.
check_daemons() {
  for i in "${!daemon_pids[@]}"; do
    if ! kill -0 "${daemon_pids[$i]}" 2> kill.err; then
      echo "a daemon ended; its log says:" >&2
      tail -n 3 "${daemon_logs[$i]}" >&2
      exit 1
    fi
  done
}

ctl() { "$bin/clementinectl" --address "$operator" --key-file operator.keys "$@"; }
for attempt in $(seq 100); do
  if ctl apply "$example/schema.json" > apply.txt 2> apply.err; then break; fi
  check_daemons
  if [ "$attempt" = 100 ]; then cat apply.txt apply.err >&2; exit 1; fi
  sleep 0.1
done
echo "schema: $(cat apply.txt)"
# Wait until every range has an owner and every server has announced itself.
servers=$(grep -vc '^#' "$example/servers.txt")
for attempt in $(seq 100); do
  status=$(ctl --output json status)
  unowned=$(grep -c '"server": null' <<< "$status" || true)
  announced=$(grep -c '"slots"' <<< "$status" || true)
  if [ "$unowned" = 0 ] && [ "$announced" = "$servers" ]; then break; fi
  check_daemons
  if [ "$attempt" = 100 ]; then
    echo "after 10 s $unowned ranges have no owner and $announced of $servers servers are announced" >&2
    exit 1
  fi
  sleep 0.1
done
sleep 0.3

if [ "$option" = --kill-one ]; then
  "$bin/clementine-load" "${callers[@]}" --schema "$example/schema.json" --calls 6000 --pause-ms 5 &
  load=$!
  sleep 0.8
  # The cell tolerates the loss of one of its three control hosts.
  killed=${daemon_pids[-1]}
  disown "$killed"
  kill -9 "$killed"
  echo "killed daemon $killed; calls to its own address cannot be sent from here on"
  wait "$load"
else
  "$bin/clementine-load" "${callers[@]}" --schema "$example/schema.json" --calls 6000 --all-answered
fi

if [ "$option" = --keep ]; then
  cp "$example/schema.json" schema.json
  echo "running until it is interrupted; in another shell:"
  echo "  cd $work && export PATH=$bin:\$PATH"
  wait "${daemon_pids[0]}" || true
fi
