#ifndef RELAY_QUICK_PLATFORM_H
#define RELAY_QUICK_PLATFORM_H

#include "platform.h"

/* Run time of a request on the backend server. */
const char *const SHORT_SERVICE_MS = "2";

inline Platform make(int hosts, const char *service_ms = SHORT_SERVICE_MS)
{
	return Platform(hosts, { "--service-ms", service_ms });
}

#endif
