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
 * A TCP proxy on loopback that injects faults into its connections. Its thread
 * and its connections end with the object.
 */
class Proxy
{
      public:
	enum Mode {
		PASS,
		DELAY,		   /* delivers the bytes 100 ms later */
		STALL_TO_SERVER,   /* forwards nothing more to the server */
		STALL_FROM_SERVER, /* forwards nothing more from the server */
		STALL_BOTH,
		NR_MODES
	};

	/* Addresses as IP:PORT. */
	Proxy(const std::string &listen_at, const std::string &forward_to);
	~Proxy();

	void set(Mode mode);
	/* Resets all connections that are open. */
	void reset();
	/* The number of connections that were forwarded so far. */
	int nr_conns() const;

      private:
	struct Chunk {
		std::vector<char> bytes;
		int64_t due_ms;
	};
	/* One direction of a connection. */
	struct Direction {
		int from, to;
		std::deque<Chunk> chunks;
		bool ended = false;	/* the sender has closed its side */
		bool shut_down = false; /* the end was forwarded */
	};
	struct Conn {
		Direction directions[2]; /* to the server, from the server */
	};

	void run();
	void accept_one();
	bool is_stalled(int direction) const;
	/* Forwards what has arrived; false when the connection is lost. */
	bool pump(Direction &direction, bool stalled);
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
