#!/bin/sh
# Daemons are stopped and started in turn while the consumers of their machines
# go on. See claim.txt. Exits with 1 if the rule LOST was broken, 0 if it held, 2
# if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../common-2.sh"

services="shop"
zone_per_host=1
hosts="1 2 3 4 5"
stops=48

start_store
for host in $hosts
do
	write_settings "$host" shop
	start_target "$host" shop "i-$host" --slots 9 --work-ms 1
	start_daemon "$host"
	put_entry "$host" shop "i-$host" 9 1
done
put_config 1 '["stock","mesh.example","/stock/","idempotent","2s","500ms",2,"shop",2]'
# shellcheck disable=SC2086
wait_ready $hosts

for host in $hosts
do
	start_clients "stock$host" "$host" --clients 30 --rate 450 \
		--path /stock/ --brief 1 --seconds $((stops * 13 / 10 + 8))
	consumers="${consumers-} $last_pid"
done

# Each daemon is started again 1.4 s or more after its end, when two others have
# been asked to stop.
former=
last=
stop=0
while test $stop -lt $stops && test "$trouble" != 0
do
	host=$((stop % 5 + 1))
	eval "pid=\$daemon_$host"
	note "SIGTERM to the daemon of h$host"
	kill -TERM "$pid"
	sleep 1.3
	if test -n "$former"
	then
		eval "pid=\$daemon_$former"
		wait "$pid"
		start_daemon "$former"
	fi
	former=$last
	last=$host
	stop=$((stop + 1))
done
# shellcheck disable=SC2086
wait $consumers
check_served

# The record has the runs of the requests without an answer only; it would have
# 90,000 lines with all of them.
# A request counts that a target ran and whose connection ended without an
# answer, taken by a machine whose daemon was asked to stop less than 7 s before.
cat "$run"/*.log | sort -n | awk '
	{ split($3, pair, "="); id = pair[2] }
	$2 == "SIGTERM" { term[substr($7, 2)] = $1 }
	$2 == "run" { ran[id] = $0 }
	$2 == "closed" {
		host = substr(id, 6, 1)
		if (term[host] && $1 - term[host] < 7000) {
			closed[id] = $1
			since[id] = $1 - term[host]
		}
	}
	$2 == "answers" { split($4, n, ":"); served += n[2] }
	END {
		printf "served %d\n", served
		for (id in closed) {
			printf "%s: closed %d ms after the SIGTERM, %s\n", id,
				since[id], id in ran ? "its run: " ran[id] : \
				"it was not passed on"
			lost += id in ran
		}
		print "lost " lost + 0
	}' >"$run/result"
while read -r line
do
	note "$line"
done <"$run/result"
rm "$run"/target-*.log
lost=$(sed -n 's/^lost //p' "$run/result")
if test "$lost" -gt 0
then
	finish 1 "LOST broken: $lost requests that a target ran got no answer"
fi
finish 0 "LOST held"
