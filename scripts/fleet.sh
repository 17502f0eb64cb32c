# Sourced by the scripts that start a local fleet.  Processes are started
# with `start`, since no pearrun process starts another, and are stopped on
# exit or Ctrl-C.
bin=.venv/bin
pids=()
stop() {
    [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
}
trap stop EXIT INT TERM
mkdir -p "$logs"
# start NAME COMMAND...: starts a process with its output in $logs/NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    pids+=($!)
}
