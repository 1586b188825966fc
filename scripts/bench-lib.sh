# Starts a local system of any size for scripts/bench and samples the resource usage of
# its processes. Sourced after demo-lib.sh, of which it replaces some functions.
BENCH_CLOCK_HZ=$(getconf CLK_TCK)
BENCH_REPLICAS=3

# Each data centre has ten peer ports; four data centres fit below the HTTP ports.
peer_port() { local letter=${1%?}; echo $((DEMO_PORT + ($(printf %d "'$letter") - 97) * 10 + ${1#?})); }

# bench_start "VMS" "DISKS": starts a new system. The first $BENCH_REPLICAS VMs of each
# data centre are replicas of its group, the others are not.
bench_start() {
  DEMO_VMS=$1 DEMO_DISKS=$2
  rm -rf "$DEMO_DIR"; mkdir -p "$DEMO_DIR"
  trap demo_stop EXIT
  local vm
  for vm in $DEMO_VMS; do
    write_settings "$vm"
    [ "${vm#?}" -le $BENCH_REPLICAS ] || sed -i 's/"data_centre_replica":true/"data_centre_replica":false/' "$DEMO_DIR/$vm.json"
    start_vm "$vm" $([ "$(has_disk "$vm")" = true ] && echo --bootstrap)
  done
  for vm in $DEMO_VMS; do wait_until 30 "$vm is ready" is_ready "$vm"; done
  millctl --token "$DEMO_ADMIN_TOKEN" set --expect none /admin/teams/roads="{\"token_sha256\":\"$(sha256 $DEMO_TEAM_TOKEN)\"}" >/dev/null
}

bench_stop() { demo_stop; DEMO_PIDS=(); }

# Sends all changes and queries to the first VM.
millctl() {
  "$MILL_BUILD/apps/millctl/millctl" --endpoint "127.0.0.1:$(http_port "${DEMO_VMS%% *}")" "$@"
}

# add_service NAME KEYED SLOTS: adds a service in all data centres that have VMs.
add_service() {
  local centres slots=""
  centres=$(for vm in $DEMO_VMS; do echo "\"$(data_centre "$vm")\""; done | sort -u | paste -sd,)
  [ "$2" = true ] && slots="\"slots\":$3,"
  millctl --token "$DEMO_TEAM_TOKEN" set --expect none "/teams/roads/services/$1={\"keyed\":$2,$slots\"data_centres\":[$centres],\"default_deadline_ms\":1000,\"target_hosts\":[\"127.0.0.0/8\"]}" >/dev/null
}

# is_answered_through VM SERVICE KEY
is_answered_through() { curl -sf -m 2 -H "Mill-Key: $3" "http://127.0.0.1:$(http_port "$1")/s/$2/level"; }
wait_for_service() {
  local vm n
  for vm in $DEMO_VMS; do
    for n in 1 2 3 4 5 6 7 8; do wait_until 30 "$vm serves $1" is_answered_through "$vm" "$1" "key-$n"; done
  done
}

# load LABEL FLAGS...: generates load and prints the report as one JSON line.
load() {
  local label=$1; shift
  "$MILL_BUILD/bench/load/mill-load" --label="$label" "$@"
}

# json_number FIELD: prints the first number of that name in standard input.
json_number() { grep -o "\"$1\": *[0-9.eE+-]*" | head -1 | sed 's/.*: *//'; }
# json_millis GROUP FIELD: prints a percentile of the group answered_ms or refused_ms.
json_millis() { sed -n "s/.*\"$1\":{\([^}]*\)}.*/\1/p" | json_number "$2"; }
# Prints a number with two decimals; numbers in reports may look like 1.2E0.
two_decimals() { awk -v value="$1" 'BEGIN { printf "%.2f", value }'; }

# Usage of a process by id: clock ticks of processor time, resident kB, bytes written by
# write() (peer links and files; HTTP uses sendmsg and is not counted) and voluntary
# context switches.
cpu_ticks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"; }
resident_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }
written_bytes() { awk '/^wchar/ { print $2 }' "/proc/$1/io"; }
context_switches() { cat /proc/"$1"/task/*/status | awk '/^voluntary_ctxt/ { n += $2 } END { print n }'; }
# metric VM NAME: prints a metric of a VM, 0 when the VM does not export it yet.
metric() { curl -sf -m 2 "http://127.0.0.1:$(http_port "$1")/metrics" | awk -v name="$2" '$1 == name { value = $2 } END { print value + 0 }'; }

# sample_usage VM: prints processor ticks, resident kB, bytes written, context switches,
# peer calls and group messages on one line.
sample_usage() {
  local pid=${DEMO_PIDS[$1]}
  echo "$(cpu_ticks "$pid") $(resident_kb "$pid") $(written_bytes "$pid") $(context_switches "$pid") $(metric "$1" mill_peer_calls_total) $(metric "$1" mill_peer_group_messages_total)"
}

# report_usage LABEL SECONDS VM...: prints one JSON line for each VM with its usage per
# second over that time.
report_usage() {
  local label=$1 seconds=$2 vm; shift 2
  declare -A before=()
  for vm in "$@"; do before[$vm]=$(sample_usage "$vm"); done
  sleep "$seconds"
  for vm in "$@"; do
    echo "${before[$vm]} $(sample_usage "$vm")" | awk -v label="$label" -v vm="$vm" -v s="$seconds" -v hz="$BENCH_CLOCK_HZ" \
      '{ printf "{\"label\":\"%s\",\"vm\":\"%s\",\"cpu_percent\":%.2f,\"rss_kb\":%d,\"written_bytes_s\":%.0f,\"wakeups_s\":%.0f,\"calls_s\":%.1f,\"group_messages_s\":%.1f}\n",
         label, vm, ($7 - $1) / hz / s * 100, $8, ($9 - $3) / s, ($10 - $4) / s, ($11 - $5) / s, ($12 - $6) / s }'
  done
}
