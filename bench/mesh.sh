# Shell functions for benchmarks that run daemons, stand-ins and backend servers
# on 127.0.0.x. Before sourcing this file, a benchmark sets build (the build
# directory), mesh_run (a directory for settings and logs) and mesh_base (the
# last byte of the first address).
#
# Host N has the address 127.0.0.(mesh_base + N) with the ports 7001 caller,
# 7002 traffic, 7003 control, 7004 operator, 7005 backend server and 7006 its
# test control. The stand-in source and host list use 127.0.0.mesh_base.

mesh_pids=
mesh_source=127.0.0.$mesh_base:9100
mesh_source_control=127.0.0.$mesh_base:9101
mesh_hosts=127.0.0.$mesh_base:9102
mesh_hosts_control=127.0.0.$mesh_base:9103

mesh_stop()
{
	# shellcheck disable=SC2086
	test -z "$mesh_pids" || kill -9 $mesh_pids 2>/dev/null || :
	wait
	mesh_pids=
}

mesh_address()	# HOST_NUMBER PORT
{
	echo "127.0.0.$((mesh_base + $1)):$2"
}

mesh_zone()	# HOST_NUMBER
{
	echo "z$((($1 - 1) % 3 + 1))"
}

mesh_start()	# LOG_NAME COMMAND...
{
	mesh_log=$mesh_run/$1.log
	shift
	"$@" >>"$mesh_log" 2>&1 </dev/null &
	mesh_last_pid=$!
	mesh_pids="$mesh_pids $mesh_last_pid"
}

# Repeats a command until it succeeds, at most 300 times 0.1 s apart.
mesh_eventually()	# COMMAND...
{
	mesh_tries=0
	until "$@" >/dev/null 2>&1
	do
		mesh_tries=$((mesh_tries + 1))
		test $mesh_tries -lt 300 || {
			echo "bench: command still fails after 300 tries: $*" >&2
			exit 1
		}
		sleep 0.1
	done
}

mesh_start_platform()	# NR_HOSTS
{
	mesh_start source "$build/standins/standin-source" \
		--listen "$mesh_source" --control "$mesh_source_control"
	mesh_start hosts "$build/standins/standin-hosts" \
		--listen "$mesh_hosts" --control "$mesh_hosts_control"
	mesh_list=
	for i in $(seq 1 "$1")
	do
		mesh_list="$mesh_list${mesh_list:+,}{\"host\":\"h$i\",\"zone\":\"$(mesh_zone "$i")\",\"region\":\"r1\",\"control\":\"$(mesh_address "$i" 7003)\",\"state\":\"live\"}"
	done
	mesh_eventually curl -fsS "http://$mesh_source_control/calls"
	mesh_eventually curl -fsS -X PUT --data "{\"hosts\":[$mesh_list]}" \
		"http://$mesh_hosts_control/hosts"
}

mesh_start_backend()	# HOST_NUMBER OPTIONS...
{
	mesh_host=$1
	shift
	mesh_start "backend-h$mesh_host" "$build/standins/standin-backend" \
		--listen "$(mesh_address "$mesh_host" 7005)" \
		--control "$(mesh_address "$mesh_host" 7006)" \
		--name "h$mesh_host" "$@"
}

mesh_start_daemon()	# HOST_NUMBER EXTRA_SETTINGS
{
	cat >"$mesh_run/h$1.json" <<END
{"host": "h$1", "zone": "$(mesh_zone "$1")", "region": "r1",
 "caller": "$(mesh_address "$1" 7001)", "traffic": "$(mesh_address "$1" 7002)",
 "control": "$(mesh_address "$1" 7003)", "operator": "$(mesh_address "$1" 7004)",
 "backend": "$(mesh_address "$1" 7005)", $2
 "source": "$mesh_source", "host_list": "$mesh_hosts"}
END
	mesh_start "daemon-h$1" "$build/godwitspur/godwitspur" run "$mesh_run/h$1.json"
}

mesh_publish()	# TREE_FILE
{
	rm -rf "$mesh_run/values"
	"$build/godwitspur/godwitspur" render "$1" "$mesh_run/values" >/dev/null
	scripts/publish "$mesh_run/values" "$mesh_source_control"
}

mesh_serving()	# HOST_NUMBER VERSION
{
	curl -fsS "http://$(mesh_address "$1" 7004)/status" >"$mesh_run/status" &&
		grep -q '"serving": true' "$mesh_run/status" &&
		test "$(grep -c "\"number\": $2\$" "$mesh_run/status")" -ge 1
}

# Prints a numeric member of the JSON that gw-load wrote.
mesh_field()	# FILE NAME
{
	sed -n "s/.*\"$2\":\\([0-9.]*\\).*/\\1/p" "$1"
}

# Prints a latency of successful requests from the JSON that gw-load wrote.
mesh_latency()	# FILE median|p99|p999
{
	sed -n "s/.*\"latency_ms\":{[^}]*\"$2\":\\([0-9.]*\\).*/\\1/p" "$1"
}
