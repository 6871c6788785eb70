#!/bin/sh
# The address of a crashed target is used again by a target of another service.
# See claim.txt. Exits with 1 if the rule ROUTE was broken, 0 if it held, 2 if
# the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../common-2.sh"

services="front shop catalogue"
rounds=8

start_store
start_host()	# HOST SERVICE ID
{
	write_settings "$1" "$2"
	start_target "$1" "$2" "$3" --slots 9 --work-ms 20
	start_daemon "$1"
	put_entry "$1" "$2" "$3" 9 1
}
start_host 1 front i-1
start_host 2 shop i-2
start_host 3 shop i-3
start_host 4 front i-4
start_host 5 front i-5
start_host 6 catalogue i-6
start_host 7 shop i-7
for host in 8 9 10
do
	start_host $host front "i-$host"
done
put_config 1 '["orders","mesh.example","/orders/","non_idempotent","2s","500ms",1,"shop",2],
["stock","mesh.example","/stock/","idempotent","2s","500ms",2,"shop",2],
["peek","mesh.example","/peek/","idempotent","2s","500ms",2,"catalogue",2]'
wait_ready 1 2 3 4 5 6 7 8 9 10

for host in 1 4 5 8 9 10
do
	start_clients orders$host $host --clients 10 --rate 20 --method POST \
		--path /orders/ --seconds $((rounds * 12))
	consumers="${consumers-} $last_pid"
	start_clients stock$host $host --clients 10 --rate 40 --path /stock/ \
		--seconds $((rounds * 12))
	consumers="$consumers $last_pid"
	start_clients peek$host $host --clients 10 --rate 40 --path /peek/ \
		--seconds $((rounds * 12))
	consumers="$consumers $last_pid"
done
sleep 2
round=1
service=shop
id=i-2
while test $round -le $rounds
do
	next_service=catalogue
	test $service != catalogue || next_service=shop
	test "$trouble" != 0 || next_service=shop
	note "the target $id of $service on h2 crashes"
	# shellcheck disable=SC2154
	kill -9 "$target_2"
	wait "$target_2" 2>/dev/null
	# reuse_after is 2 s; the crashed target's entry stays for three heartbeats.
	sleep 2.2
	next_id=i-2-$round
	note "the address of h2 goes to the target $next_id of $next_service"
	write_settings 2 $next_service
	start_target 2 $next_service "$next_id" --slots 9 --work-ms 20
	# It writes its entry at its first heartbeat.
	sleep 1
	put_entry 2 $next_service "$next_id" 9 1
	sleep 1.3
	store_call DELETE "servers/$id"
	id=$next_id
	service=$next_service
	round=$((round + 1))
	sleep 6
done
# shellcheck disable=SC2086
wait $consumers
check_served

# The routes /orders/ and /stock/ go to shop, and /peek/ to catalogue.
for path in orders/ stock/ peek/
do
	other=catalogue
	test $path != peek/ || other=shop
	wrong=$(cat "$run"/target-*.log |
		grep -c " run id=.* service=$other .* /$path")
	note "requests for /$path run by targets of $other: $wrong"
	cat "$run"/target-*.log |
		sed -n "s|.* run id=\([^ ]*\) service=$other .* /$path.*|\1|p" \
		>>"$run/wrong"
	sum=$((${sum-0} + wrong))
done
for kind in sent answer run
do
	note "lines of the kind '$kind': $(cat "$run"/*.log | grep -c " $kind id=")"
done
keep_ids "$run/wrong"
if test "$sum" -gt 0
then
	finish 1 "ROUTE broken: $sum requests were run by a service to which no configuration sends them"
fi
finish 0 "ROUTE held"
