#include <glib.h>
#include <string.h>

#include "../expect.h"
#include "net/address.h"
#include "once/once.h"
#include "retry/retry.h"

/*
 * Texts that callers, backend servers and operators send. Each value has one
 * text form; a second form of a ticket would be a second key of one request.
 */

static void check_ticket(const char *text)
{
	char again[TICKET_TEXT_MAX];
	struct ticket ticket;

	if (!ticket_parse(&ticket, text))
		return;
	ticket_format(&ticket, again);
	expect(!strcmp(text, again));
}

static void check_context(const char *text)
{
	char again[CONTEXT_TEXT_MAX];
	struct request_context context;

	if (!request_context_parse(&context, text))
		return;
	request_context_format(&context, again);
	expect(!strcmp(text, again));
}

static void check_address(const char *text)
{
	struct net_address address;
	g_autoptr(GError) error = NULL;
	g_autofree char *again = NULL;

	if (!net_address_parse(&address, text, &error)) {
		expect(error != NULL);
		return;
	}
	expect(address.len > 0);
	again = g_strdup_printf(address.storage.ss_family == AF_INET6
					? "[%s]:%u"
					: "%s:%u",
				address.host, address.port);
	expect(!strcmp(text, again));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autofree char *text = g_strndup((const char *)data, size);

	check_ticket(text);
	check_context(text);
	check_address(text);
	return 0;
}
