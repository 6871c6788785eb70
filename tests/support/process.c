#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "process.h"

#define POLL_US 2000
/* Below the ephemeral range, so that no outgoing connection uses a port. */
#define FIRST_PORT 10000
#define NR_PORTS 20000

static bool parse_address(const char *address, struct sockaddr_in *result)
{
	char ip[ADDRESS_CHARS];
	const char *colon = strchr(address, ':');

	if (!colon || colon - address >= ADDRESS_CHARS)
		return false;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	memset(result, 0, sizeof(*result));
	result->sin_family = AF_INET;
	result->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &result->sin_addr) == 1;
}

/* Opens a socket and applies bind() or connect(); returns -1 on failure. */
static int open_socket(const char *address,
		       int (*apply)(int, const struct sockaddr *, socklen_t))
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in parsed;
	int one = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (parse_address(address, &parsed) &&
	    !apply(fd, (const struct sockaddr *)&parsed, sizeof(parsed)))
		return fd;
	close(fd);
	return -1;
}

int connect_to(const char *address)
{
	return open_socket(address, connect);
}

bool address_is_free(const char *address)
{
	int fd = open_socket(address, bind);

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

void free_address_at(const char *ip, char address[ADDRESS_CHARS])
{
	static int next;
	int n;

	do {
		n = __atomic_fetch_add(&next, 1, __ATOMIC_RELAXED);
		snprintf(address, ADDRESS_CHARS, "%s:%d", ip,
			 FIRST_PORT + (getpid() / 250 * 97 + n) % NR_PORTS);
	} while (!address_is_free(address) && n < NR_PORTS);
}

void free_address(char address[ADDRESS_CHARS])
{
	char ip[ADDRESS_CHARS];

	snprintf(ip, sizeof(ip), "127.0.0.%d", 2 + getpid() % 250);
	free_address_at(ip, address);
}

bool process_start(struct process *process, const char *const argv[],
		   const char *log)
{
	pid_t parent = getpid();
	int fd;

	process->pid = fork();
	if (process->pid < 0) {
		process->pid = 0;
		return false;
	}
	if (process->pid)
		return true;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(127);
	if (log) {
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		if (fd < 0 || dup2(fd, STDERR_FILENO) < 0)
			_exit(127);
		close(fd);
	}
	execv(argv[0], (char *const *)argv);
	_exit(127);
}

bool process_wait_listening(struct process *process, const char *address,
			    int timeout_ms)
{
	int64_t until = clock_monotonic_ns() + timeout_ms * NS_PER_MS;
	int fd;

	while (process->pid && clock_monotonic_ns() < until) {
		fd = connect_to(address);
		if (fd >= 0) {
			close(fd);
			return true;
		}
		if (process_wait(process, 0, NULL))
			return false;
		usleep(POLL_US);
	}
	return false;
}

void process_signal(const struct process *process, int signal)
{
	if (process->pid)
		kill(process->pid, signal);
}

bool process_wait(struct process *process, int timeout_ms, int *status)
{
	int64_t until = clock_monotonic_ns() + timeout_ms * NS_PER_MS;
	pid_t result;

	if (!process->pid)
		return false;
	while (!(result = waitpid(process->pid, status, WNOHANG)) &&
	       clock_monotonic_ns() < until)
		usleep(POLL_US);
	if (result != process->pid)
		return false;
	process->pid = 0;
	return true;
}

void process_kill(struct process *process)
{
	if (!process->pid)
		return;
	kill(process->pid, SIGKILL);
	waitpid(process->pid, NULL, 0);
	process->pid = 0;
}
