#!/bin/sh
# A target crashes, starts again under a new id and soon says that it leaves.
# Counts the requests that reach it later than `drain` after that was accepted.
set -eu
cd "$(dirname "$0")/../.."
case=review/2
: >"$case/record.txt"
. review/common.sh

start_boot()	# HOST ID; sets last_pid
{
	start_process "target-$2" "$tools/target" "$(address "$1" 7105)" "$2" \
		30 "$run/runs"
	boot_pid=$last_pid
	eventually answers "$(address "$1" 7105)" /health 200
	last_pid=$boot_pid
}

# A consumer of a host sends a lookup every 0.1 s for 8 s.
consume()	# HOST
{
	number=0
	while test "$number" -lt 80
	do
		number=$((number + 1))
		"$tools/client" -t 2000 -i "h$1-$number" "$(address "$1" 7101)" \
			"GET:/stock/h$1-$number:0" >>"$run/consumer$1" 2>&1 || :
		sleep 0.1
	done
}

pick_network
start_store
publish_config 7 67108864
: >"$run/runs"
for host in 1 2 3
do
	write_settings "$host" catalogue
	start_boot "$host" "i-$host-1"
	eval "target_$host=$last_pid"
	publish_entry "$host" "i-$host-1" catalogue ready
	start_daemon "$host"
done
for host in 1 2 3
do
	eventually is_ready "$host"
done
sleep 3.5

note "consumers begin"
consumers=
for host in 1 2 3
do
	consume "$host" &
	pids="$pids $!"
	consumers="$consumers $!"
done
sleep 1
leaving=i-1-1
if test "$trouble" != 0
then
	leaving=i-1-2
	note "the target i-1-1 crashes right after a heartbeat"
	# shellcheck disable=SC2154
	kill -9 "$target_1"
	wait "$target_1" 2>/dev/null || :
	sleep 0.8
	start_boot 1 i-1-2
	publish_entry 1 i-1-2 catalogue ready
	note "it is back as i-1-2"
	sleep 0.4
fi
publish_entry 1 "$leaving" catalogue draining
ack=$(date +%s%3N)
note "the store has accepted that $leaving is draining, at $ack"
if test "$trouble" != 0
then
	# The entry of i-1-1 is removed 4.5 s, three heartbeats, after its last one.
	sleep 3.2
	delete_item servers/i-1-1
	note "the store has removed the entry of i-1-1"
fi
for pid in $consumers
do
	wait "$pid" || :
done
cat "$run"/consumer[123] >>"$record"
note "what $leaving ran, with the time:"
grep " $leaving " "$run/runs" >>"$record" || :
late=$(awk -v id="$leaving" -v ack="$ack" \
	'$2 == id && $1 > ack + 2000 { n++ } END { print n + 0 }' "$run/runs")
if test "$late" -gt 0
then
	finish 1 "DRAIN: $late requests reached $leaving later than 2000 ms after the ack of its leaving"
fi
finish 0 "no request reached $leaving later than 2000 ms after the ack of its leaving"
