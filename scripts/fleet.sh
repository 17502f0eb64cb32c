# Sourced by the scripts that start a local fleet: every process is
# started here, by the shell, since no pearrun process starts another,
# and stopped on exit or Ctrl-C.
bin=.venv/bin
pids=()
stop() {
    [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
}
trap stop EXIT INT TERM
mkdir -p "$logs"
# start NAME COMMAND...: start a process, its output in a file.
start() {
    local name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    pids+=($!)
}
