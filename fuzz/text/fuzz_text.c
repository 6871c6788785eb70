#include <glib.h>
#include <string.h>

#include "../expect.h"
#include "net/address.h"
#include "once/once.h"
#include "retry/retry.h"

/*
 * Fuzzes the parsers of tickets, request contexts and addresses, which callers,
 * backend servers and operators send as text. Formatting an accepted value must
 * reproduce the input. With two text forms of one ticket, the same request
 * could be sent under two idempotency keys.
 */

static void check_ticket(const char *text)
{
	char formatted[TICKET_TEXT_MAX];
	struct ticket ticket;

	if (!ticket_parse(&ticket, text))
		return;
	ticket_format(&ticket, formatted);
	expect(!strcmp(text, formatted));
}

static void check_context(const char *text)
{
	char formatted[CONTEXT_TEXT_MAX];
	struct request_context context;

	if (!request_context_parse(&context, text))
		return;
	request_context_format(&context, formatted);
	expect(!strcmp(text, formatted));
}

static void check_address(const char *text)
{
	struct net_address address;
	g_autoptr(GError) error = NULL;
	g_autofree char *formatted = NULL;

	if (!net_address_parse(&address, text, &error)) {
		expect(error != NULL);
		return;
	}
	expect(address.len > 0);
	formatted = g_strdup_printf(address.storage.ss_family == AF_INET6
					    ? "[%s]:%u"
					    : "%s:%u",
				    address.host, address.port);
	expect(!strcmp(text, formatted));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autofree char *text = g_strndup((const char *)data, size);

	check_ticket(text);
	check_context(text);
	check_address(text);
	return 0;
}
