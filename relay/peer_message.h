#ifndef RELAY_PEER_MESSAGE_H
#define RELAY_PEER_MESSAGE_H

#include <stdbool.h>

#include "wire/wire.h"

/*
 * Checks of the HTTP texts in messages from other daemons. They are written to
 * the backend server or the caller as they came, so a line end or a framing
 * field in them would change the message. Violations are counted and logged.
 */

/* Returns whether the request line and the fields of a request are valid. */
bool peer_request_is_valid(const struct relay_request *request);

/* Returns whether the status and the fields of a forwarded answer are valid. */
bool peer_answer_is_valid(const struct relay_answer *answer);

#endif
