#ifndef SUPPORT_PROCESS_H
#define SUPPORT_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

/*
 * Processes of tests: start a program, wait until it listens, signal and reap
 * it. Addresses are strings such as 127.0.0.5:7001.
 */

struct process {
	pid_t pid; /* 0 if not running */
};

#define ADDRESS_CHARS 32

/*
 * Writes an address 127.0.0.x:port that is free now. The IP address is the same
 * for all calls of a process and differs between most processes, so that tests
 * that run in parallel seldom collide.
 */
void free_address(char address[ADDRESS_CHARS]);

/* Returns whether nothing is bound to the address. */
bool address_is_free(const char *address);

/* Like free_address(), with the given IP address. */
void free_address_at(const char *ip, char address[ADDRESS_CHARS]);

/* Opens a TCP connection, which the caller closes; returns -1 on failure. */
int connect_to(const char *address);

/*
 * Starts argv[0]; NULL ends the arguments. Standard error is appended to the
 * file log, or inherited if log is NULL. The program is killed when the thread
 * that started it ends. A program that cannot be executed exits with status
 * 127. Returns false if fork() fails.
 */
bool process_start(struct process *process, const char *const argv[],
		   const char *log);

/*
 * Waits until the address accepts connections. Returns false on timeout or when
 * the program ends.
 */
bool process_wait_listening(struct process *process, const char *address,
			    int timeout_ms);

/* Sends a signal; does nothing if the program is not running. */
void process_signal(const struct process *process, int signal);

/*
 * Waits until the program ends and stores the status of waitpid() in *status,
 * which may be NULL. Returns false on timeout.
 */
bool process_wait(struct process *process, int timeout_ms, int *status);

/* Sends SIGKILL and reaps; does nothing if the program is not running. */
void process_kill(struct process *process);

#endif
