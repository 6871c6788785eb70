# Shell functions of the second review's scripts. A script sets `case` to its
# folder and sources this file. Every process listens on 127.0.0.x and ends with
# the script. Host N has the address 127.0.0.(220 + N).
# shellcheck shell=sh disable=SC2034,SC2154

cd "$case/../.." || exit 2
trouble=${TROUBLE:-1}
record=$case/record.txt
daemon=target/godwitspur/godwitspur
tools=target/review-2
run=$(mktemp -d) || exit 2
pids=
for program in $daemon $tools/target-2 $tools/client-2 $tools/standin-store
do
	test -x "$program" || {
		echo "$program is missing: run the deploy build and review/build-2.sh"
		exit 2
	}
done

now()
{
	date +%s%3N
}

cleanup()
{
	status=$?
	for pid in $pids
	do
		kill -9 "$pid" 2>/dev/null
	done
	rm -rf "$run"
	exit $status
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# Adds a line with the time to the record.
note()
{
	echo "$(now) $*" | tee -a "$run/note.log"
}

# Whether a port is in use on any address of this machine.
port_is_used()	# PORT
{
	grep -q ":$(printf %04X "$1") " /proc/net/tcp
}

# Sets `port` to the first of 16 free ports.
find_ports()
{
	port=$((20000 + $$ % 500 * 20))
	i=0
	while test $i -lt 16
	do
		if port_is_used $((port + i))
		then
			port=$((port + 20))
			i=0
		else
			i=$((i + 1))
		fi
	done
}
find_ports
store=127.0.0.220:$port
store_control=127.0.0.220:$((port + 1))

ip()	# HOST
{
	echo "127.0.0.$((220 + $1))"
}

callers()	# HOST
{
	echo "$(ip "$1"):$((port + 2))"
}

# The zone of a host: its own one with zone_per_host=1.
zone()	# HOST
{
	if test "${zone_per_host-0}" = 1
	then
		echo "z$1"
	else
		echo z1
	fi
}

start()	# LOG_NAME COMMAND...; sets last_pid
{
	log=$1
	shift
	"$@" >>"$run/$log.out" 2>&1 &
	last_pid=$!
	pids="$pids $last_pid"
}

store_call()	# METHOD KEY [VALUE]
{
	$tools/client-2 --to $store_control --method "$1" \
		--path "/item?key=$2" --numbered 0 --count 1 --body "${3-}" || {
		note "the store's stand-in did not take $2"
		exit 2
	}
	note "store: $1 $2 acknowledged"
}

start_store()
{
	start store $tools/standin-store --listen "$store" \
		--control "$store_control"
	sleep 0.5
}

# Limits and bounds are those of SYSTEM.md's first deployment unless the script
# sets link_mbps.
write_settings()	# HOST SERVICE
{
	cat >"$run/h$1.new" <<END
node=h$1
role=daemon
machine_class=sidecar
serves=sidecar
ip=$(ip "$1")
zone=$(zone "$1")
region=r
zones.$(zone "$1")=r
listen.ingress=$(ip "$1"):$((port + 3))
listen.egress=$(callers "$1")
listen.readiness=$(ip "$1"):$((port + 4))
port_range=$((port + 8)),$((port + 11))
bootstrap=false
limits.cpu_share=0.2
limits.cpu_cores=1
limits.memory_mb=260
limits.max_fds=4100
limits.link_mbps=${link_mbps:-1000.0}
heartbeat=1500ms
bounds.reuse_after=2s
bounds.contact=3000ms
bounds.drain=2000ms
bounds.grace=6s
bounds.loss_slack=200ms
bounds.config=2000ms
bounds.rollback_slack=250ms
bounds.retry_budget_ratio=0.2
bounds.budget_window=10s
bounds.budget_slack=62
bounds.warmup_overage=1.5
bounds.warmup_slack=5
bounds.evacuate=5000ms
bounds.recovery=15s
app_addr=$(ip "$1"):$((port + 5))
service=$2
provider.address=$store
provider.form=read
END
	mv "$run/h$1.new" "$run/h$1.settings"
}

start_daemon()	# HOST; sets daemon_HOST
{
	GODWITSPUR_SETTINGS=$run/h$1.settings \
		start "daemon-h$1" $daemon relay
	eval "daemon_$1=$last_pid"
}

start_target()	# HOST SERVICE ID [OPTION...]; sets target_HOST
{
	target_host=$1
	target_service=$2
	target_id=$3
	shift 3
	start "target-$target_id" $tools/target-2 --id "$target_id" \
		--service "$target_service" --log "$run/target-$target_id.log" \
		--listen "$(ip "$target_host"):$((port + 5))" "$@"
	eval "target_$target_host=$last_pid"
}

# The entry that a target writes of itself, ready and just started unless given.
put_entry()	# HOST SERVICE ID SLOTS SEQUENCE [PHASE [BORN]]
{
	store_call PUT "servers/$3" "{\"service\":\"$2\",
\"address\":\"$(ip "$1"):$((port + 5))\",\"zone\":\"$(zone "$1")\",
\"resource_version\":\"v1\",\"max_concurrency\":$4,
\"phase\":\"${6:-ready}\",\"warmup_left\":\"0ms\",\"sequence\":$5,
\"born\":${7:-$(now)}}"
}

# A configuration; the services are named by `services`, the limits by
# max_header_bytes and max_body_bytes.
put_config()	# VERSION ROUTE_ROWS
{
	rows=
	for name in $services
	do
		rows="$rows${rows:+,}[\"$name\",\"/health\",130,\"3s\",16.0]"
	done
	store_call PUT op/config "{\"resource_version\":\"r$1\",\"routes\":{
\"columns\":[\"name\",\"hostname\",\"path_prefix\",\"kind\",\"timeout\",
\"target_latency\",\"priority\",\"service\",\"attempts\"],\"rows\":[$2]},
\"services\":{\"columns\":[\"name\",\"health_path\",\"max_connections\",
\"warmup\",\"warmup_per_s\"],\"rows\":[$rows]},
\"limits\":{\"max_header_bytes\":${max_header_bytes:-16384},
\"max_body_bytes\":${max_body_bytes:-67108864},\"header_timeout\":\"3000ms\",
\"idle_timeout\":\"15000ms\"}}"
}

wait_ready()	# HOST...
{
	for host
	do
		tries=0
		until $tools/client-2 --to "$(ip "$host"):$((port + 4))" \
			--path /readyz --numbered 0 --count 1
		do
			tries=$((tries + 1))
			test $tries -lt 100 || {
				note "the daemon of h$host is not ready"
				exit 2
			}
			sleep 0.1
		done
	done
	# Until probes have found the targets warm, and machines are in touch.
	sleep 5
}

# Consumers in the background, on host TO; more options as of client-2.
start_clients()	# PREFIX TO OPTION...; sets last_pid
{
	clients_prefix=$1
	clients_to=$(callers "$2")
	shift 2
	start "clients-$clients_prefix" $tools/client-2 \
		--prefix "$clients_prefix" --to "$clients_to" \
		--log "$run/clients-$clients_prefix.log" "$@"
}

# Writes the record: what was sent, answered and run, by time.
write_record()
{
	sort -n "$run"/*.log >"$record"
}

# Ends the script with 2 unless some requests were served: without any it could not
# show whether the rule holds.
check_served()
{
	grep -qE ' status=200( |:[1-9])' "$run"/clients-*.log || {
		note "no request was served: the case could not run"
		exit 2
	}
}

# Leaves out of the record the lines of requests whose ids are not in a file; with
# all of them it would have tens of megabytes.
keep_ids()	# FILE
{
	sed 's/.*/ id=& /' "$1" >"$run/ids"
	for log in "$run"/target-*.log "$run"/clients-*.log
	do
		sed 's/$/ /' "$log" | grep -F -f "$run/ids" >"$run/kept"
		mv "$run/kept" "$log"
	done
}

# Ends the script with the verdict: 1 if the rule was broken.
finish()	# BROKEN(0|1) TEXT
{
	note "verdict: $2"
	write_record
	exit "$1"
}
