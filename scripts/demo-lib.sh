# Starts and stops the local system of scripts/demo: writes settings files, manages
# processes and waits for conditions. Sourced after lib.sh.
DEMO_DIR=${MILL_DEMO_DIR:-$MILL_ROOT/run/demo}
DEMO_PORT=${MILL_DEMO_PORT:-18100}
DEMO_VMS="a1 a2 a3 b1 b2 b3"
DEMO_DISKS="a1 b1 b2"
DEMO_ADMIN_TOKEN=demo-admin
DEMO_TEAM_TOKEN=demo-team
declare -A DEMO_PIDS=()

sha256() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
peer_port() { local n=${1#?}; case $1 in a*) echo $((DEMO_PORT + n));; *) echo $((DEMO_PORT + 10 + n));; esac; }
http_port() { echo $(($(peer_port "$1") + 50)); }
data_centre() { echo "dc-${1%?}"; }
has_disk() { case " $DEMO_DISKS " in *" $1 "*) echo true;; *) echo false;; esac; }

seeds_json() {
  local sep=""
  for vm in $DEMO_VMS; do
    printf '%s{"vm":"%s","data_centre":"%s","host":"127.0.0.1","peer_port":%s,"http_port":%s,"disk":%s}' \
      "$sep" "$vm" "$(data_centre "$vm")" "$(peer_port "$vm")" "$(http_port "$vm")" "$(has_disk "$vm")"
    sep=,
  done
}

write_settings() {
  local vm=$1 folder=""
  [ "$(has_disk "$vm")" = true ] && folder="\"data_folder\":\"$DEMO_DIR/$vm\","
  cat >"$DEMO_DIR/$vm.json" <<JSON
{"vm":"$vm","data_centre":"$(data_centre "$vm")",$folder
 "peer_listen":{"host":"127.0.0.1","port":$(peer_port "$vm")},
 "http_listen":{"host":"127.0.0.1","port":$(http_port "$vm")},
 "settings_replica":$(has_disk "$vm"),"data_centre_replica":true,
 "admin_token_sha256":"$(sha256 $DEMO_ADMIN_TOKEN)",
 "allowed_target_hosts":["127.0.0.0/8"],
 "seeds":[$(seeds_json)]}
JSON
}

# start_process NAME COMMAND...: standard output goes to NAME.out, standard error to
# NAME.log.
start_process() {
  local name=$1; shift
  "$@" >>"$DEMO_DIR/$name.out" 2>>"$DEMO_DIR/$name.log" &
  DEMO_PIDS[$name]=$!
}

start_vm() {
  local vm=$1; shift
  [ "$(has_disk "$vm")" = true ] && mkdir -p "$DEMO_DIR/$vm"
  start_process "$vm" "$MILL_BUILD/apps/magnoliamilld/magnoliamilld" --settings "$DEMO_DIR/$vm.json" "$@"
}

# start_target NAME SERVICE LETTER [FLAGS...]: LETTER names the data centre (a for dc-a).
start_target() {
  local name=$1 service=$2 dc=$3; shift 3
  local announce="" vm
  for vm in $DEMO_VMS; do
    [ "${vm%?}" = "$dc" ] && announce="$announce${announce:+,}127.0.0.1:$(http_port "$vm")"
  done
  start_process "$name" "$MILL_BUILD/fakes/target/fake-target" --name="$name" --service="$service" \
    --data_centre="dc-$dc" --host=127.0.0.1 --port=0 --announce="$announce" --slots=3 \
    --record="$DEMO_DIR/$name.runs" "$@"
}

# stop_process NAME SIGNAL: signals a process started here, waits for its end and returns
# its exit status.
stop_process() {
  local pid=${DEMO_PIDS[$1]:-}
  [ -n "$pid" ] || return 0
  kill -"$2" "$pid" 2>/dev/null || true
  local status=0
  wait "$pid" || status=$?
  unset "DEMO_PIDS[$1]"
  return $status
}

# Ends all processes with SIGTERM, and those that remain after 25 s with SIGKILL.
demo_stop() {
  local name
  for name in "${!DEMO_PIDS[@]}"; do kill -TERM "${DEMO_PIDS[$name]}" 2>/dev/null || true; done
  for name in "${!DEMO_PIDS[@]}"; do
    local pid=${DEMO_PIDS[$name]} tries=0
    while kill -0 "$pid" 2>/dev/null && [ $tries -lt 250 ]; do sleep 0.1; tries=$((tries + 1)); done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

# wait_until SECONDS DESCRIPTION COMMAND...: repeats the command until it succeeds; fails
# after the given time.
wait_until() {
  local limit=$1 what=$2 end
  shift 2
  end=$(($(date +%s) + limit))
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt "$end" ] || { echo "timed out after $limit s: $what" >&2; return 1; }
    sleep 0.1
  done
}

is_ready() { curl -sf -m 1 "http://127.0.0.1:$(http_port "$1")/readyz"; }
serves_keyed() { curl -sf -m 2 -H "Mill-Key: barn-1" "http://127.0.0.1:$(http_port "$1")/s/barnstock/level"; }
serves_keyless() { curl -sf -m 2 "http://127.0.0.1:$(http_port "$1")/s/art-vault/proof"; }

millctl() {
  "$MILL_BUILD/apps/millctl/millctl" --endpoint "127.0.0.1:$(http_port a2),127.0.0.1:$(http_port b3)" "$@"
}

load_example_settings() {
  millctl --token "$DEMO_ADMIN_TOKEN" set --expect none /admin/teams/roads="{\"token_sha256\":\"$(sha256 $DEMO_TEAM_TOKEN)\"}"
  millctl --token "$DEMO_TEAM_TOKEN" set --expect none /teams/roads/services/barnstock="$(cat "$MILL_ROOT/examples/demo/barnstock.json")"
  millctl --token "$DEMO_TEAM_TOKEN" set --expect none /teams/roads/services/art-vault="$(cat "$MILL_ROOT/examples/demo/art-vault.json")"
}

demo_start() {
  rm -rf "$DEMO_DIR"; mkdir -p "$DEMO_DIR"
  trap demo_stop EXIT
  local vm
  for vm in $DEMO_VMS; do write_settings "$vm"; start_vm "$vm" $([ "$(has_disk "$vm")" = true ] && echo --bootstrap); done
  for vm in $DEMO_VMS; do wait_until 30 "$vm is ready" is_ready "$vm"; done
  load_example_settings
  for n in 1 2 3; do start_target "barn-a$n" barnstock a; start_target "barn-b$n" barnstock b; done
  start_target vault-a1 art-vault a; start_target vault-b1 art-vault b
  for vm in $DEMO_VMS; do
    wait_until 30 "$vm routes keyed requests" serves_keyed "$vm"
    wait_until 30 "$vm routes keyless requests" serves_keyless "$vm"
  done
}

demo_print_addresses() {
  local vm
  for vm in $DEMO_VMS; do echo "VM $vm ($(data_centre "$vm")): http://127.0.0.1:$(http_port "$vm")  log $DEMO_DIR/$vm.log"; done
  cat <<TEXT

Try:
  curl -i -H 'Mill-Key: barn-7' http://127.0.0.1:$(http_port a1)/s/barnstock/level
  curl -i -X POST -H 'Mill-Key: barn-7' -H 'Idempotency-Key: r-1' http://127.0.0.1:$(http_port b2)/s/barnstock/reserve
  curl -i http://127.0.0.1:$(http_port a1)/s/art-vault/proof
  export MILL_TOKEN=$DEMO_TEAM_TOKEN
  $MILL_BUILD/apps/millctl/millctl --endpoint 127.0.0.1:$(http_port a1) owners barnstock barn-7
  $MILL_BUILD/apps/millctl/millctl --endpoint 127.0.0.1:$(http_port a1) get /teams/roads/services/barnstock
  $MILL_BUILD/apps/millctl/millctl --endpoint 127.0.0.1:$(http_port a1) drain roads barnstock barn-a1
TEXT
}
