#ifndef RELAY_PROXY_H
#define RELAY_PROXY_H

#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <thread>
#include <vector>

/*
 * A TCP proxy on loopback that harms the connections through it. Its thread
 * ends with the object, and its connections with it.
 */
class Proxy
{
      public:
	enum Mode {
		PASS,
		DELAY,	     /* each piece comes 100 ms later */
		SILENCE_IN,  /* nothing more goes to the server */
		SILENCE_OUT, /* nothing more comes from it */
		SILENCE_BOTH,
		NR_MODES
	};

	/* Addresses as IP:PORT. */
	Proxy(const std::string &listen_at, const std::string &forward_to);
	~Proxy();

	void set(Mode mode);
	/* Resets all connections that are open. */
	void reset();
	/* Connections that were passed on so far. */
	int nr_conns() const;

      private:
	struct Piece {
		std::vector<char> bytes;
		int64_t due_ms;
	};
	/* One direction of a connection. */
	struct Way {
		int from, to;
		std::deque<Piece> pieces;
		bool ended = false;  /* no more bytes come */
		bool closed = false; /* told so to the other side */
	};
	struct Conn {
		Way ways[2]; /* to the server, from the server */
	};

	void run();
	void accept_one();
	bool is_silent(int way) const;
	bool pump(Way &way, bool silent); /* false: the connection is lost */
	static void close_conn(Conn &conn, bool with_reset);

	std::string server;
	int listener;
	std::list<Conn> conns;
	std::atomic<int> mode{ PASS };
	std::atomic<bool> wants_reset{ false }, stopped{ false };
	std::atomic<int> accepted{ 0 };
	std::thread thread;
};

#endif
