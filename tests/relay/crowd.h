#ifndef RELAY_CROWD_H
#define RELAY_CROWD_H

#include <cstdint>
#include <string>
#include <vector>

/*
 * Callers that respect no limits: connections that all send the same bytes as
 * fast as they are accepted and stay open afterwards. With per_pass, only so
 * many more connections begin to send at each call of send_some().
 */
class Crowd
{
      public:
	Crowd(const std::string &address, const std::string &payload, int size,
	      size_t per_pass = SIZE_MAX / 2);
	~Crowd();

	/* Sends what the sockets accept. Returns whether all was sent. */
	bool send_some();

	int nr_open();

      private:
	struct Member {
		int fd;
		size_t sent;
	};
	std::string payload;
	size_t per_pass, started = 0;
	std::vector<Member> members;
};

/* Observes the memory and the descriptors of a process. */
class Usage
{
      public:
	/* The addresses, IP:PORT, are those that the process listens at. */
	Usage(pid_t pid, const std::vector<std::string> &addresses);

	/* Takes a sample; called often while the process has load. */
	void sample();

	/*
	 * The largest resident memory in bytes, including what its sockets had
	 * received and it had not read at the time of a sample.
	 */
	size_t peak_bytes() const;
	size_t unread_at_peak() const; /* the part that was not read */
	size_t peak_descriptors() const;

      private:
	size_t status_bytes(const char *name) const;
	size_t unread_bytes() const;

	std::string directory;
	std::vector<std::string> keys; /* addresses as in /proc/net/tcp */
	size_t peak = 0, peak_unread = 0;
	size_t descriptors = 0;
};

#endif
