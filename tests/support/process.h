#ifndef SUPPORT_PROCESS_H
#define SUPPORT_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

/*
 * Real processes for tests: start a program, wait until it listens, signal
 * and reap it. Addresses are texts such as 127.0.0.5:7001.
 */

struct process {
	pid_t pid; /* 0 when not running */
};

#define ADDRESS_CHARS 32

/*
 * Writes an address 127.0.0.x:port that is free now. The IP number is the
 * same for all calls of a process and differs between most processes, so that
 * tests run side by side seldom meet.
 */
void free_address(char address[ADDRESS_CHARS]);

/* Whether nothing is bound to IP:PORT. */
bool address_is_free(const char *address);

/* The same at an IP number of the caller's choice. */
void free_address_at(const char *ip, char address[ADDRESS_CHARS]);

/* Opens a TCP connection; -1 when it is refused. The caller closes it. */
int connect_to(const char *address);

/*
 * Starts argv[0] with arguments up to NULL. Standard error goes to the end of
 * the file log, or stays the test's when log is NULL. The program is killed
 * when the thread that started it ends. A program that cannot be executed
 * ends with status 127. False when no process can be made.
 */
bool process_start(struct process *process, const char *const argv[],
		   const char *log);

/* Waits until the address accepts; false on timeout or when the program ends.
 */
bool process_wait_listening(struct process *process, const char *address,
			    int timeout_ms);

/* Sends a signal; nothing when the program is not running. */
void process_signal(const struct process *process, int signal);

/*
 * Waits for the end. True with the status of waitpid() in *status, which may
 * be NULL; false on timeout.
 */
bool process_wait(struct process *process, int timeout_ms, int *status);

/* Sends SIGKILL and reaps; nothing when the program is not running. */
void process_kill(struct process *process);

#endif
