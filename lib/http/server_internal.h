#ifndef HTTP_SERVER_INTERNAL_H
#define HTTP_SERVER_INTERNAL_H

#include <netinet/in.h>

#include "http/server.h"

/*
 * Shared by the files of the server: server.c reads requests and writes
 * responses, server_memory.c bounds what connections hold.
 */

enum conn_state {
	CONN_READING, /* reads a request, or is idle before its first byte */
	CONN_SERVING, /* the owner of the server has the request */
	CONN_WRITING, /* the response is being written */
	/* A refused request is read and dropped, so that its caller reads. */
	CONN_LINGERING,
	CONN_CLOSED
};

struct http_server {
	struct http_server_options options;
	struct net_source listener;
	struct cds_list_head conns;
	unsigned nr_conns;
	bool draining;
};

struct http_server_conn {
	struct net_source source;
	struct timer timer;
	struct cds_list_head node;
	struct http_server *server;
	struct http_reader reader;
	enum conn_state state;
	uint32_t events;
	GByteArray *out; /* the response that is being written */
	guint out_done;	 /* bytes of out that were written */
	/* Bytes read after the current request, at most READ_BYTES. */
	GByteArray *pipelined;
	bool close_after; /* close the connection after the response */
	bool is_head;	  /* the request is HEAD */
	bool unread;	  /* the request was refused before its end */
	struct memory_hold hold;
	/* What an open connection has whatever it sends. */
	struct memory_hold base_hold;
	size_t buffer; /* bytes of the larger receive buffer; 0: the smaller */
	/* Bytes of the request that the account has room for. */
	size_t granted;
	size_t received;    /* bytes of the body, since the last deadline */
	int64_t wait_until; /* end of the wait for room; 0: none */
	bool body_begun;    /* the deadline of the head is over */
	void *data;
	char peer_ip[INET6_ADDRSTRLEN];
};

/* server.c */

void server_conn_set_events(struct http_server_conn *conn, uint32_t events);
void server_conn_close(struct http_server_conn *conn);

/* Answers a request that was not read whole, and closes its connection. */
void server_conn_refuse(struct http_server_conn *conn, int status);

/* Answers a request that expects it with 100 Continue. */
void server_conn_send_continue(struct http_server_conn *conn);

/* server_memory.c */

void server_init_memory(struct http_server *server);
void server_conn_init_memory(struct http_server_conn *conn);
void server_conn_release_memory(struct http_server_conn *conn);

/* Called in each state that a connection enters. */
void server_conn_idle(struct http_server_conn *conn);
/* Returns false when the whole request was refused for lack of room. */
bool server_conn_serving(struct http_server_conn *conn,
			 const struct http_message *message);
void server_conn_writing(struct http_server_conn *conn);

/* Called after bytes of a response were written. */
void server_conn_wrote(struct http_server_conn *conn, size_t bytes);

/*
 * Called after a part of a request was read. Returns false when the request
 * was refused, or waits for room.
 */
bool server_conn_read_part(struct http_server_conn *conn, size_t bytes);
bool server_conn_is_waiting(const struct http_server_conn *conn);

/* Returns whether a deadline of this file was due and was handled. */
bool server_conn_run_timer(struct http_server_conn *conn, int64_t now);

/* Begins to drop the rest of a refused request; false: nothing to drop. */
bool server_conn_linger(struct http_server_conn *conn);
void server_conn_discard(struct http_server_conn *conn);

/*
 * Closes the connection that has been idle or without progress for longest,
 * unless all have a request. Returns whether one was closed.
 */
bool server_close_idlest(struct http_server *server);

/* Returns whether one more connection may be open, after closing the idlest. */
bool server_has_place(struct http_server *server);

#endif
