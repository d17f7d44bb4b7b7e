# Shell functions that start a small fleet on loopback. Each process gets a
# port from the kernel; every process started is ended by its own id. Sourced.

FLEET_PIDS=""
FLEET_DIR=$(mktemp -d)

# fleet_start NAME COMMAND...: starts a process that logs to NAME.log.
fleet_start() {
	name=$1
	shift
	"$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.log" &
	FLEET_PIDS="$FLEET_PIDS $!"
}

fleet_stop() {
	for pid in $FLEET_PIDS; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in $FLEET_PIDS; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$FLEET_DIR"
}

# fleet_until COMMAND...: waits for a condition, for at most 20 seconds.
fleet_until() {
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		if [ "$tries" -gt 200 ]; then
			echo "gave up waiting for: $*" >&2
			return 1
		fi
		sleep 0.1
	done
}

fleet_has_port() {
	grep -q '^port ' "$FLEET_DIR/$1.out"
}

# fleet_port NAME: prints the port that a stand-in was given.
fleet_port() {
	fleet_until fleet_has_port "$1"
	sed -n 's/^port //p' "$FLEET_DIR/$1.out"
}

# fleet_vm PLATFORM ID ZONE PORT ROLE SERVES SLOTS: lists a VM.
fleet_vm() {
	curl -sS -o /dev/null "http://$1/standin/vms" -d "{\"id\":\"$2\",
		\"zone\":\"$3\",\"address\":\"127.0.0.1\",\"port\":$4,
		\"role\":\"$5\",\"state\":\"live\",\"serves\":\"$6\",
		\"slots\":$7,\"reclaimable\":true,\"machine_class\":\"any\"}"
}

# fleet_settings NAME ZONE PLATFORM-PORT KEY: writes a settings file.
fleet_settings() {
	cat >"$FLEET_DIR/$1.toml" <<-EOF
	[node]
	id = "$1"
	zone = "$2"
	[platform]
	address = "127.0.0.1"
	port = $3
	vm_list_period_ms = 500
	[callers]
	port = 0
	[peers]
	port = 0
	key_file = "$(dirname "$4")/peers.key"
	[placer]
	zones = ["zone-a", "zone-b", "zone-c", "zone-d"]
	[bundle]
	public_key_file = "$4"
	EOF
}

# fleet_entry_port NAME: prints the port an entry serves callers on.
fleet_entry_port() {
	sed -n 's/.*serves callers on port \([0-9]*\),.*/\1/p' \
		"$FLEET_DIR/$1.log"
}
