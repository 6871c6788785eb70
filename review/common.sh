# Shared by the scripts of the cases: a small deployment with the settings of
# the site vrmc-mesh on loopback addresses. Every host has a daemon and a
# stand-in of its target; there is one stand-in of the store. A script sets
# `case` to its folder and sources this file from the repository's root.
# shellcheck shell=sh disable=SC2034,SC2154

daemon_program=$PWD/target/godwitspur/godwitspur
tools=$PWD/review/target
run=$(mktemp -d)
record=$case/record.txt
trouble=${TROUBLE:-1}
pids=
request_number=0
finished=

note()
{
	printf '%s %s\n' "$(date +%s.%N | cut -c1-14)" "$*" >>"$record"
}

# Ends with a status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
finish()	# STATUS TEXT
{
	note "result: $2 (exit $1)"
	echo "$2"
	finished=1
	exit "$1"
}

cleanup()
{
	status=$?
	trap - EXIT
	for pid in $pids
	do
		# Not a process that has the number of one that ended.
		parent=$(awk '{ print $4 }' "/proc/$pid/stat" 2>/dev/null) || :
		test "$parent" = "$$" || continue
		kill -9 "$pid" 2>/dev/null || :
		wait "$pid" 2>/dev/null || :
	done
	cp "$run"/daemon-*.log "${KEEP_LOGS:-/nonexistent}" 2>/dev/null || :
	rm -rf "$run"
	# A script that ended early has shown nothing.
	test -n "$finished" || {
		note "result: the script ended early, status $status (exit 2)"
		exit 2
	}
	exit "$status"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

for program in "$daemon_program" "$tools/client" "$tools/target" \
	"$tools/standin-store" "$tools/standin-target"
do
	test -x "$program" || finish 2 "not built: ${program#"$PWD"/}"
done

# Picks ports that are free on the addresses of all hosts.
pick_network()
{
	net=127.0.0
	try=0
	while test "$try" -lt 50
	do
		base=$((12000 + ($$ + try * 7919) % 900 * 20))
		free=1
		for host in 1 2 3 4 5 6 200
		do
			for port in 7101 7102 7103 7105 7106 7110 7111
			do
				"$tools/client" -f "$(address "$host" "$port")" ||
					free=0
			done
		done
		test "$free" = 1 && return
		try=$((try + 1))
	done
	finish 2 "no free ports"
}

# The ports 7101 and up of these scripts stand for free ones.
address()	# HOST PORT
{
	echo "$net.$1:$((base + $2 - 7101))"
}

zone()	# HOST
{
	case $(($1 % 3)) in
	1) echo accra-a ;;
	2) echo accra-b ;;
	*) echo accra-c ;;
	esac
}

start_process()	# LOG COMMAND...; sets last_pid
{
	log=$1
	shift
	"$@" >>"$run/$log.log" 2>&1 &
	last_pid=$!
	pids="$pids $last_pid"
}

# Sends one request of the test itself; prints the client's line.
control()	# ADDRESS METHOD PATH [BODY]
{
	"$tools/client" -t 5000 -d "${4-}" -o "$run/control.$$" "$1" "$2:$3:0"
}

eventually()	# COMMAND...: repeats it for at most 15 s
{
	tries=0
	until "$@" >/dev/null 2>&1
	do
		tries=$((tries + 1))
		test "$tries" -lt 150 || finish 2 "did not succeed within 15 s: $*"
		sleep 0.1
	done
}

answers()	# ADDRESS PATH STATUS
{
	control "$1" GET "$2" | grep -q "status=$3 "
}

write_settings()	# HOST SERVICE
{
	cat >"$run/h$1.new" <<END
node=sidecar-$(zone "$1")-$1
role=daemon
machine_class=sidecar
serves=sidecar
ip=$net.$1
zone=$(zone "$1")
region=accra
zones.accra-a=accra
zones.accra-b=accra
zones.accra-c=accra
listen.ingress=$(address "$1" 7103)
listen.egress=$(address "$1" 7101)
listen.readiness=$(address "$1" 7102)
port_range=$((base + 9)),$((base + 18))
seed_nodes=
bootstrap=${bootstrap:-false}
counts_as_loss=false
limits.cpu_share=0.2
limits.cpu_cores=1
limits.memory_mb=110
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry_mode=static
heartbeat=1500ms
policies=base,drain,config,cost,retry,recover,places,platform
fault_tolerance.nodes=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag=3s
bounds.reuse_after=2s
bounds.contact=3000ms
bounds.ack=4000ms
bounds.catch_up=4s
bounds.drain=2000ms
bounds.grace=6s
bounds.loss_slack=200ms
bounds.config=2000ms
bounds.rollback_slack=250ms
bounds.outer=5000ms
bounds.retry_budget_ratio=0.2
bounds.budget_window=10s
bounds.budget_slack=58
bounds.warmup_overage=1.5
bounds.warmup_slack=5
bounds.evacuate=5000ms
bounds.recovery=15s
app_addr=$(address "$1" 7105)
service=$2
provider.address=$(address 200 7101)
provider.form=read
provider.writes_per_s=400
provider.reads_per_s=2000
provider.history=20s
provider.value_bytes=1048576
provider.ttl_min=1000ms
END
	mv "$run/h$1.new" "$run/h$1.conf"
}

start_store()
{
	start_process store "$tools/standin-store" \
		--listen "$(address 200 7101)" --control "$(address 200 7106)"
	eventually answers "$(address 200 7106)" /calls 200
}

start_target()	# HOST ID [OPTION...]; sets last_pid
{
	target_host=$1
	target_id=$2
	shift 2
	start_process "target-$target_id" "$tools/standin-target" \
		--listen "$(address "$target_host" 7105)" \
		--control "$(address "$target_host" 7106)" --id "$target_id" \
		--slots 12 "$@"
	target_pid=$last_pid
	eventually answers "$(address "$target_host" 7106)" /state 200
	last_pid=$target_pid
}

# The run command of the deploy file, with the variable that the platform sets.
start_daemon()	# HOST; sets last_pid
{
	GODWITSPUR_SETTINGS=$run/h$1.conf
	export GODWITSPUR_SETTINGS
	start_process "daemon-$1" "$daemon_program" relay
}

put_item()	# KEY VALUE
{
	control "$(address 200 7106)" PUT "/item?key=$1" "$2" |
		grep -q 'status=200 ' || finish 2 "the store refused $1"
}

delete_item()	# KEY
{
	control "$(address 200 7106)" DELETE "/item?key=$1" |
		grep -q 'status=200 ' || finish 2 "the store refused $1"
}

publish_entry()	# HOST ID SERVICE PHASE
{
	put_item "servers/$2" "{\"service\":\"$3\",\"address\":\"$(address "$1" 7105)\",\
\"zone\":\"$(zone "$1")\",\"resource_version\":\"v1\",\"max_concurrency\":12,\
\"phase\":\"$4\",\"warmup_left\":\"0ms\",\"sequence\":1,\"born\":$(date +%s)000}"
}

# Publishes routes to the services catalogue and documents.
publish_config()	# VERSION MAX_BODY_BYTES
{
	put_item op/config "{\"resource_version\":\"r$1\",\"routes\":{\"columns\":[\"name\",\
\"hostname\",\"path_prefix\",\"kind\",\"timeout\",\"target_latency\",\"priority\",\
\"service\",\"attempts\",\"traffic_split\"],\"rows\":[\
[\"r-order\",\"mesh.example\",\"/order/\",\"non_idempotent\",\"${route_timeout:-2500ms}\",\"600ms\",1,\"catalogue\",2,null],\
[\"r-stock\",\"mesh.example\",\"/stock/\",\"idempotent\",\"${route_timeout:-2000ms}\",\"500ms\",2,\"catalogue\",2,null],\
[\"r-pack\",\"mesh.example\",\"/pack/\",\"download\",\"${route_timeout:-1500ms}\",\"400ms\",2,\"documents\",2,null]]},\
\"services\":{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\
\"tls\",\"warmup\",\"warmup_per_s\"],\"rows\":[\
[\"catalogue\",\"/health\",110,\"h1\",false,\"3s\",16.0],\
[\"documents\",\"/health\",110,\"h1\",false,\"3s\",16.0]]},\
\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":$2,\
\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}"
}

is_ready()	# HOST
{
	answers "$(address "$1" 7102)" /readyz 200
}

# Sends one request and notes the answer; sets answer to the client's line.
request()	# HOST METHOD PATH BODY_BYTES [CLIENT_OPTION...]
{
	request_host=$1
	request_step="$2:$3:$4"
	shift 4
	request_number=$((request_number + 1))
	answer=$("$tools/client" -i "q$request_number" "$@" \
		"$(address "$request_host" 7101)" "$request_step") || :
	note "host $request_host $request_step -> $answer"
}

# Prints the targets of the requests that a target ran, one a line.
runs_of()	# HOST
{
	rm -f "$run/control.$$"
	control "$(address "$1" 7106)" GET /state >/dev/null
	grep -o '"target": *"[^"]*"' "$run/control.$$" || :
}
