#!/bin/sh
# Two targets crash, one after the other, while they run requests of a route that
# was added. See claim.txt. Exits with 1 if the rule CONFIG was broken, 0 if it
# held, 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../common-2.sh"

services="front shop"
first_route='["stock","mesh.example","/stock/","idempotent","2s","500ms",2,"shop",2]'
added_route='["offers","mesh.example","/offers/","idempotent","2s","500ms",2,"shop",2]'

start_store
start_shop_target()	# HOST
{
	start_target "$1" shop "i-$1" --slots 9 --work-ms 150
}
write_settings 1 front
start_target 1 front i-1
start_daemon 1
put_entry 1 front i-1 9 1
for host in 2 3 4 5
do
	write_settings $host shop
	start_shop_target $host
	start_daemon $host
	put_entry $host shop "i-$host" 9 1
done
put_config 1 "$first_route"
wait_ready 1 2 3 4 5
put_config 2 "$first_route,$added_route"
sleep 3

start_clients first 1 --clients 5 --rate 20 --path /stock/ --seconds 36
consumers=$last_pid
start_clients added 1 --clients 20 --rate 90 --path /offers/today \
	--numbered 0 --seconds 36
consumers="$consumers $last_pid"
sleep 4
for host in 2 3
do
	test "$trouble" != 0 || continue
	note "the target i-$host of h$host crashes"
	eval "kill -9 \$target_$host"
	# No server entry is written while it is down.
	sleep 4
	start_shop_target $host
	put_entry $host shop "i-$host" 9 1
	note "the target i-$host of h$host is back"
	sleep 4
done
# Nothing is disturbed from here on; after `contact` the state is steady.
steady=$(($(now) + 3000))
# shellcheck disable=SC2086
wait $consumers

cat "$run"/*.log | sort -n | awk -v steady="$steady" '
	{ split($3, pair, "="); id = pair[2]; split(id, part, "-") }
	$2 == "sent" && $1 >= steady { sent[part[1]]++; counted[id] = 1 }
	$2 == "answer" && id in counted {
		statuses[part[1] " " $4]++
		if ($4 == "status=200" && $5 == "whole=1")
			served[part[1]]++
	}
	END {
		for (s in statuses) print "in steady state: " s " " statuses[s]
		if (sent["first"] > 0 && sent["added"] >= 20)
			broken = served["added"] / sent["added"] < 0.25 * \
				 served["first"] / sent["first"]
		print "broken " broken + 0
	}' >"$run/result"
while read -r line
do
	note "$line"
done <"$run/result"
if grep -q "^broken 1" "$run/result"
then
	finish 1 "CONFIG broken: the added route is refused, with all targets well"
fi
finish 0 "CONFIG held"
