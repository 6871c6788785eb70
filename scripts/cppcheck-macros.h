/*
 * Simplified loop macros of urcu/list.h for cppcheck, which does not read
 * system headers and would report the loop variables as uninitialised.
 */
#define cds_list_for_each_entry(p, head, member)               \
	for (p = (void *)(head)->next; &(p)->member != (head); \
	     p = (void *)(p)->member.next)
#define cds_list_for_each_entry_safe(p, n, head, member)             \
	for (p = (void *)(head)->next, n = (void *)(p)->member.next; \
	     &(p)->member != (head); p = n, n = (void *)(n)->member.next)
