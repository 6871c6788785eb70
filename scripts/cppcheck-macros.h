/*
 * Loop macros of urcu/list.h in a form that cppcheck follows. It does not read
 * system headers, and without these it takes loop variables for uninitialised.
 */
#define cds_list_for_each_entry(p, head, member)               \
	for (p = (void *)(head)->next; &(p)->member != (head); \
	     p = (void *)(p)->member.next)
#define cds_list_for_each_entry_safe(p, n, head, member)             \
	for (p = (void *)(head)->next, n = (void *)(p)->member.next; \
	     &(p)->member != (head); p = n, n = (void *)(n)->member.next)
