#ifndef RELAY_BACKEND_MESSAGE_H
#define RELAY_BACKEND_MESSAGE_H

#include "http/client.h"
#include "retry/retry.h"
#include "wire/wire.h"

/* Builds requests for the backend server and classifies its responses. */

/*
 * The head of a request for the server with this id; freed by the caller. With
 * has_organisations the forwarded fields may hold no key and no organisation.
 */
GString *backend_message_head(const struct relay_request *request,
			      const char *backend_id, int64_t time_left_ms,
			      bool has_organisations);

/* Classifies how a request ended; response is NULL when there was none. */
enum failure_reason
backend_message_classify(enum http_end end,
			 const struct http_message *response);

/* Copies a response into an answer that is freed with xdr_free(). */
void backend_message_to_answer(struct relay_answer *answer,
			       const struct http_message *response);

#endif
