# The checks of scripts/demo --check. Sourced after demo-lib.sh.

# check DESCRIPTION COMMAND...: prints whether the command succeeds.
check() {
  local what=$1; shift
  if "$@"; then echo "ok    $what"; else echo "FAILED $what"; DEMO_FAILED=1; fi
}

check_keyed_read() {
  local vm
  for vm in $DEMO_VMS; do
    curl -s -m 3 -D - -o /dev/null -H 'Mill-Key: barn-7' "http://127.0.0.1:$(http_port "$vm")/s/barnstock/level" |
      grep -qi '^Mill-Outcome: answered' || return 1
  done
}

# Sends one release with an idempotency key and checks that the targets recorded exactly
# one run of it.
check_release() {
  curl -sf -m 3 -X POST -H 'Mill-Key: barn-9' -H 'Idempotency-Key: release-1' \
    "http://127.0.0.1:$(http_port a3)/s/barnstock/release" >/dev/null || return 1
  [ "$(cat "$DEMO_DIR"/barn-*.runs | grep '"path":"/release"' | grep -c '"event":"begin"')" = 1 ]
}

index_of_change() { sed -n 's/.*"index": *\([0-9]*\).*/\1/p' | head -1; }
in_force_everywhere() {
  millctl --token "$DEMO_TEAM_TOKEN" --output json status "$1" | tr -d ' \n' | grep -q '"pending":\[\]'
}
check_settings_change() {
  local value index
  value=$(sed 's/"queue_limit_per_target": *[0-9]*/"queue_limit_per_target": 99/' "$MILL_ROOT/examples/demo/barnstock.json")
  index=$(millctl --token "$DEMO_TEAM_TOKEN" --output json set --expect current /teams/roads/services/barnstock="$value" | index_of_change)
  [ -n "$index" ] && wait_until 6 "the change is in force" in_force_everywhere "$index"
}

# start_light_load VM: sends requests one by one in the background and records the HTTP
# status of each in a file.
start_light_load() {
  LOAD_FILE=$DEMO_DIR/load.txt; : >"$LOAD_FILE"; touch "$DEMO_DIR/load.on"
  (
    trap - EXIT
    n=0
    while [ -e "$DEMO_DIR/load.on" ]; do
      n=$((n + 1))
      curl -s -m 8 -o /dev/null -w '%{http_code}\n' -H "Mill-Key: barn-$((n % 50))" -H 'Mill-Deadline-Ms: 5000' \
        "http://127.0.0.1:$(http_port "$1")/s/barnstock/level" >>"$LOAD_FILE" || true
    done
  ) &
  LOAD_PID=$!
}
stop_light_load() {
  rm -f "$DEMO_DIR/load.on"; wait "$LOAD_PID" || true
  local all bad
  all=$(wc -l <"$LOAD_FILE"); bad=$(grep -vc '^200$' "$LOAD_FILE" || true)
  echo "      $all requests during the stop, $bad without status 200"
  [ "$all" -gt 0 ] && [ "$bad" = 0 ]
}

check_target_stop() {
  local status=0
  start_light_load a2
  wait_until 10 "some load" grep -q 200 "$LOAD_FILE" || status=1
  stop_process barn-a1 TERM || status=1
  stop_light_load && [ $status = 0 ]
}
check_vm_stop() {
  local status=0
  start_light_load a2
  wait_until 10 "some load" grep -q 200 "$LOAD_FILE" || status=1
  stop_process a3 TERM || status=1
  stop_light_load && [ $status = 0 ]
}

demo_check() {
  DEMO_FAILED=0
  check "a keyed read is answered through every VM" check_keyed_read
  check "a non-idempotent release runs once" check_release
  check "a settings change is in force everywhere within 6 s" check_settings_change
  check "a planned stop of a target interrupts no request" check_target_stop
  check "a planned stop of a VM interrupts no request" check_vm_stop
  return $DEMO_FAILED
}
