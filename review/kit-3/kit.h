#ifndef REVIEW_KIT_H
#define REVIEW_KIT_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * What the scripts of review 3 share: stand-ins of the store, of backend
 * servers and of clients, and the daemons of a small deployment. The stand-ins
 * are threads of the case's own program, and the daemons are processes of their
 * own. A failure of the kit itself ends the program with EXIT_NOT_RUN.
 */

#define EXIT_HELD 0
#define EXIT_BROKEN 1
#define EXIT_NOT_RUN 2

#define HOSTS_MAX 14
#define TEXT_MAX 256
#define RUNS_MAX 20000
#define CONNS_MAX 64

/* One request that a stand-in of a backend server began to run. */
struct run {
	char request_id[64];
	char server_id[64];
	char caller[64]; /* X-Caller-Service */
	char target[64];
	int64_t at; /* ms since the start of the case */
};

/* A backend server and the daemon beside it. */
struct host {
	char ip[32];
	char zone[16];
	char service[32];  /* of the server */
	char settings[32]; /* service that the settings name */
	char server_id[64];
	int64_t born;
	int clock_ms; /* by which the host's time of day is ahead */
	int sequence;
	int work_ms;
	size_t answer_bytes;
	int listener;	      /* of the server; -1: it does not run */
	int conns[CONNS_MAX]; /* of the server; 0: free */
	int nr_running;
	pid_t daemon; /* 0: it does not run */
};

struct kit {
	bool trouble; /* false: TROUBLE=0, the same without the disruption */
	FILE *record;
	char folder[TEXT_MAX]; /* of the settings and logs */
	char program[TEXT_MAX];
	struct host hosts[HOSTS_MAX];
	int nr_hosts;
	int port_clients, port_peers, port_ready, port_server, port_range;
	int port_store;
	pthread_mutex_t lock; /* guards runs, the store and the servers */
	struct run runs[RUNS_MAX];
	int nr_runs;
};

extern struct kit kit;

/* A client's connection to a daemon. */
struct client {
	int fd;
	int status; /* of the last answer; 0: the connection closed */
	size_t body_bytes;
	char signature[64];
};

/* Begins a case: arguments are its folder and the daemon's program. */
void kit_begin(int argc, char **argv, int nr_hosts);

/* Ends all daemons and the case. */
void kit_end(int status) __attribute__((noreturn));

/* Ends the case as not run. */
void kit_fail(const char *format, ...)
	__attribute__((noreturn, format(printf, 1, 2)));

/* Milliseconds since the start of the case. */
int64_t kit_now(void);
void kit_sleep(int64_t ms);
void kit_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* The store. The answer to a put or a deletion is its ack. */
void kit_put(const char *key, const char *value);
void kit_delete(const char *key);

/* Backend servers. */
void kit_start_server(struct host *host, const char *id);
/* Ends the server at once, with all its connections. */
void kit_end_server(struct host *host);
void kit_register(struct host *host, const char *phase);

/* Counts the runs of a request; NULL or the last of them. */
const struct run *kit_find_run(const char *request_id, int *nr);

/* Daemons. */
void kit_write_settings(const struct host *host);
void kit_start_daemon(struct host *host);
void kit_kill_daemon(struct host *host);
void kit_wait_ready(void);

/* Clients. */
bool kit_connect(struct client *client, const struct host *host);
void kit_close(struct client *client);
bool kit_send(struct client *client, const char *method, const char *target,
	      const char *request_id, size_t body_bytes);
/* Waits for the answer; the status is 0 when there is none. */
int kit_receive(struct client *client);

#endif
