#!/bin/sh
# A request crashes each target that runs it and comes again. The daemons are
# restarted in turn, as planned work. Counts how often the request reaches
# targets later than `contact` after its third crash.
set -eu
cd "$(dirname "$0")/../.."
case=review/5
: >"$case/record.txt"
. review/common.sh

# Starts the target of a host under a new id, and takes away the entry of the
# one that crashed.
start_boot()	# HOST
{
	eval "boot=$((boot_$1 + 1)) old=\$id_$1"
	eval "boot_$1=$boot id_$1=i-$1-$boot"
	start_process "target-i-$1-$boot" "$tools/target" \
		"$(address "$1" 7105)" "i-$1-$boot" 50 "$run/runs" /order/poison
	eval "target_$1=$last_pid"
	eventually answers "$(address "$1" 7105)" /health 200
	publish_entry "$1" "i-$1-$boot" catalogue ready
	test -z "$old" || delete_item "servers/$old"
}

# The request comes at a machine. A target that it crashes is back after 2 s.
send_poison()	# HOST
{
	request "$1" POST /order/poison 0 -d same -t 2500
	for host in 1 2 3
	do
		eval "pid=\$target_$host"
		kill -0 "$pid" 2>/dev/null && continue
		wait "$pid" 2>/dev/null || :
		note "the target of host $host crashed"
		sleep 2
		start_boot "$host"
		sleep 1.5
	done
}

pick_network
start_store
publish_config 7 67108864
: >"$run/runs"
for host in 1 2 3
do
	write_settings "$host" catalogue
	eval "boot_$host=0 id_$host="
	start_boot "$host"
	start_daemon "$host"
	eval "daemon_$host=$last_pid"
done
for host in 1 2 3
do
	eventually is_ready "$host"
done
sleep 3.5

# Until the request is refused on each host, so that all daemons know it.
for turn in 1 2 3
do
	tries_left=4
	until send_poison "$turn" && echo "$answer" | grep -q 'status=503'
	do
		tries_left=$((tries_left - 1))
		test "$tries_left" -gt 0 ||
			finish 2 "host $turn did not refuse the request"
	done
done
for turn in 1 2 3
do
	if test "$trouble" != 0
	then
		eval "pid=\$daemon_$turn"
		note "SIGTERM to the daemon of host $turn, which is started again"
		kill -TERM "$pid"
		wait "$pid" 2>/dev/null || :
		start_daemon "$turn"
		eval "daemon_$turn=$last_pid"
		eventually is_ready "$turn"
	fi
	# The machine is in touch `contact`, 3 s, after the start.
	sleep 3.5
	send_poison "$turn"
	send_poison "$turn"
done

# Runs of the request: each is a crash, with its time in ms.
grep /order/poison "$run/runs" >"$run/crashes" || :
note "the request at targets:"
cat "$run/crashes" >>"$record"
late=$(awk 'NR == 3 { third = $1 } NR > 3 && $1 > third + 3000 { late++ }
	END { print late + 0 }' "$run/crashes")
if test "$late" -gt 3
then
	finish 1 "BUDGET: the request reached targets $late times later than contact after its third crash"
fi
finish 0 "the request reached targets $late times later than contact after its third crash"
