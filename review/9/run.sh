#!/bin/sh
# A heartbeat that the store carries out late follows the word of its target that
# it leaves. See claim.txt. Exits with 1 if the rule DRAIN was broken, 0 if it
# held, 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../common-2.sh"

services="front shop"
drain_ms=2000

start_store
for host in 1 2 3 4
do
	service=shop
	test $host != 1 || service=front
	write_settings $host $service
	start_target $host $service "i-$host" --slots 9 --work-ms 30
	start_daemon $host
done
born=$(now)
for host in 1 2 3 4
do
	service=shop
	test $host != 1 || service=front
	put_entry $host $service "i-$host" 9 1 ready "$born"
done
put_config 1 '["stock","mesh.example","/stock/","idempotent","2s","500ms",2,"shop",2]'
wait_ready 1 2 3 4

start_clients stock 1 --clients 20 --rate 60 --path /stock/ --seconds 12
consumers=$last_pid
sleep 1
note "the target i-2 writes its heartbeat 7; the store does not answer"
# The disturbance of the store ends here; `contact` is 3 s.
sleep 3.4
put_entry 2 shop i-2 9 8 draining "$born"
left=$(now)
sleep 1.5
put_entry 2 shop i-2 9 9 draining "$born"
sleep 0.1
if test "$trouble" != 0
then
	note "the store carries out the write of the heartbeat 7"
	put_entry 2 shop i-2 9 7 ready "$born"
fi
sleep 1.4
put_entry 2 shop i-2 9 10 draining "$born"
# shellcheck disable=SC2086
wait $consumers
check_served

late=$(awk -v left="$left" -v drain=$drain_ms '
	$2 == "run" && $1 > left + drain' "$run/target-i-2.log" | wc -l)
note "requests that reached i-2 later than $drain_ms ms after its ack: $late"
if test "$late" -gt 0
then
	finish 1 "DRAIN broken: $late requests reached a target that leaves"
fi
finish 0 "DRAIN held"
