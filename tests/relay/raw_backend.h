#ifndef RELAY_RAW_BACKEND_H
#define RELAY_RAW_BACKEND_H

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

/*
 * A stand-in of a backend server whose bytes a test chooses. Each connection
 * has a thread; all end with the object.
 */
class RawBackend
{
      public:
	struct Request {
		std::string method, target, id;
		std::string expected;	 /* id of the server that may run it */
		size_t body_bytes;	 /* announced; the body is not read */
		std::string previous_id; /* on the same connection */
		bool after_probe;	 /* the connection carried a probe */
		int run; /* counts the requests that are no probes, from 1 */
	};
	/*
	 * Answers a request with send(); returns whether the connection stays
	 * open. Called on the connection's thread.
	 */
	using Serve =
		std::function<bool(RawBackend &, int fd, const Request &)>;

	/* Listens at IP:PORT, which a server on it must have left. */
	RawBackend(const std::string &address, Serve serve);
	~RawBackend();

	/* Sends bytes; false when the connection is closed. */
	bool send(int fd, const std::string &bytes);
	/* Sends a unit again and again until the other side closes. */
	void send_endlessly(int fd, const std::string &first,
			    const std::string &unit);
	/* Reads and drops bytes of a body. */
	static bool read_body(int fd, size_t len);
	/* Closes with a reset at the end of the connection. */
	static void reset_at_close(int fd);

	/* A whole answer with a signature. */
	static std::string answer(const std::string &id,
				  const std::string &body);

	std::atomic<int> nr_runs{ 0 }; /* requests that are no probes */
	std::atomic<int> nr_probes{ 0 };
	std::atomic<size_t> endless_bytes{ 0 };
	/* Changes the bytes of an answer to a probe while it runs. */
	void set_probe_answer(const std::string &bytes);
	/* The bytes of an answer to a probe. */
	std::string probe_answer = "HTTP/1.1 200 OK\r\nX-Warmup-Ms: 0\r\n"
				   "Content-Length: 0\r\n\r\n";
	/* Probes that have arrived are not answered while it is set. */
	std::atomic<bool> hold_probes{ false };
	/* Probes are answered by this unit without end, unless it is empty. */
	std::string endless_probe;

      private:
	void accept_all();
	void serve_conn(int fd);
	bool serve_probe(int fd);
	bool serve_one(int fd, std::string &input, Request &previous);

	Serve serve;
	int listener;
	std::atomic<bool> stopped{ false };
	std::mutex lock; /* guards the two below and probe_answer */
	std::list<std::thread> threads;
	std::list<int> fds;
	std::thread acceptor;
};

#endif
