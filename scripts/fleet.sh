# Functions that start and stop the demo fleet, for other scripts to source.
# The working directory has to be the root of the repository. The fleet writes all its files to $RUN;
# $RUN/pids/NAME holds the PID of each process.

RUN=${RUN:-build/demo}
BIN=${BIN:-build}
# First two digits of every port; fleets with different digits can run at the same time.
PORTS=${PORTS:-17}
SETTINGS=$RUN/settings
PLATFORM=127.0.0.1:${PORTS}000
ENTRY1=127.0.0.1:${PORTS}081
ENTRY2=127.0.0.1:${PORTS}082
OPERATOR_TOKEN=demo-operator-token

start_process() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >>"$RUN/$name.log" 2>&1 &
    echo $! >"$RUN/pids/$name"
    disown
}

start_platform() { start_process platform "$BIN/fake-platform" --listen "$PLATFORM" --vm_lag_ms 1000; }
# Engines differ as those of a real fleet do: two of the six are slower, and every second one runs
# without fencing, so that it accepts outdated orders.
start_engine() { # NUMBER
    local rate=20000 step=8 fencing=true
    [ "$1" -ge 5 ] && rate=12000 step=11
    [ $(($1 % 2)) = 0 ] && fencing=false
    start_process "engine$1" "$BIN/fake-engine" --listen "127.0.0.1:${PORTS}30$1" --name "engine-$1" \
        --prefill_rate "$rate" --step_ms "$step" --fencing="$fencing"
}
start_service() { # NUMBER
    start_process "service$1" "$BIN/fake-service" --listen "127.0.0.1:${PORTS}40$1" --name "service-$1"
}
start_agent() { start_process "agent$1" "$BIN/jujube-agent" --settings "$SETTINGS/agent0$1.toml"; }
start_entry() { start_process "entry$1" "$BIN/jujube-entry" --settings "$SETTINGS/entry$1.toml"; }

prepare_settings() {
    mkdir -p "$SETTINGS" "$RUN/pids"
    rm -f "$RUN/pids"/*
    rm -f "$RUN"/*.log "$RUN"/*.jsonl
    for file in apps/demo/settings/*.toml; do
        sed "s/127.0.0.1:17/127.0.0.1:$PORTS/" "$file" >"$SETTINGS/$(basename "$file")"
    done
}

start_processes() {
    start_platform
    for i in 1 2 3 4 5 6; do start_engine "$i"; done
    for i in 1 2; do start_service "$i"; done
    for i in 1 2 3 4 5 6 7 8; do start_agent "$i"; done
    for i in 1 2; do start_entry "$i"; done
}

start_fleet() {
    prepare_settings
    start_processes
}

wait_for() { # SECONDS COMMAND...
    local until=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ $SECONDS -ge $until ]; then
            echo "gave up waiting for: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

ctl() { JUJUBE_ENTRY=${CTL_ENTRY:-$ENTRY1} JUJUBE_TOKEN=$OPERATOR_TOKEN "$BIN/jujubectl" "$@"; }

engines_ready() { # COUNT ENTRY
    [ "$(CTL_ENTRY=$2 ctl engines --json | grep -c '"ready": true')" -ge "$1" ]
}

# Publishes the demo's profiles, grants a key to each of two teams and waits until both entries serve
# requests with these keys.
prepare_fleet() {
    wait_for 30 curl -sf "http://$ENTRY1/readyz"
    wait_for 30 curl -sf "http://$ENTRY2/readyz"
    ctl publish --file apps/demo/profiles.toml
    KEY_TEAM_A=$(ctl grant team-a)
    KEY_TEAM_B=$(ctl grant team-b)
    wait_for 30 engines_ready 8 "$ENTRY1"
    wait_for 30 engines_ready 8 "$ENTRY2"
    for entry in "$ENTRY1" "$ENTRY2"; do
        for key in "$KEY_TEAM_A" "$KEY_TEAM_B"; do
            wait_for 10 curl -sf -H "Authorization: Bearer $key" "http://$entry/v1/models"
        done
    done
}

write_env() {
    {
        echo "ENTRY1_URL=http://$ENTRY1"
        echo "ENTRY2_URL=http://$ENTRY2"
        echo "PLATFORM_URL=http://$PLATFORM"
        echo "SERVICE1_URL=http://127.0.0.1:${PORTS}401"
        echo "KEY_TEAM_A=$KEY_TEAM_A"
        echo "KEY_TEAM_B=$KEY_TEAM_B"
        echo "OPERATOR_TOKEN=$OPERATOR_TOKEN"
        for name in $(process_names); do echo "PID_${name^^}=$(process_pid "$name")"; done
    } >"$RUN/env"
}

# Saves the histories of the fakes for jujube-check.
save_histories() {
    curl -s "http://$PLATFORM/history" >"$RUN/platform.jsonl"
    for i in 1 2 3 4 5 6; do curl -s "http://127.0.0.1:${PORTS}30$i/history" >"$RUN/engine$i.jsonl"; done
    for i in 1 2; do curl -s "http://127.0.0.1:${PORTS}40$i/history" >"$RUN/service$i.jsonl"; done
}

process_names() { ls "$RUN/pids" 2>/dev/null || true; }
process_pid() { cat "$RUN/pids/$1"; }
process_alive() { kill -0 "$(process_pid "$1")" 2>/dev/null; }
signal_process() { # SIGNAL NAME
    kill "-$1" "$(process_pid "$2")" 2>/dev/null || true
}

# Stops all processes: entries and agents with SIGTERM while the platform still responds, then the
# rest with SIGKILL.
stop_fleet() {
    local name until=$((SECONDS + 20))
    for name in $(process_names); do
        case $name in entry* | agent*)
            signal_process CONT "$name"
            signal_process TERM "$name"
            ;;
        esac
    done
    for name in $(process_names); do
        case $name in entry* | agent*)
            while process_alive "$name" && [ $SECONDS -lt $until ]; do sleep 0.1; done
            ;;
        esac
    done
    for name in $(process_names); do signal_process KILL "$name"; done
    wait 2>/dev/null || true
    rm -f "$RUN/pids"/*
}
