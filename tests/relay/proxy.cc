#include "proxy.h"

#include <arpa/inet.h>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

const int TURN_MS = 2;
const int DELAY_MS = 100;
const size_t PIECES_MAX = 64; /* held for each direction */
const size_t PIECE_BYTES = 16384;

int64_t now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now().time_since_epoch())
		.count();
}

struct sockaddr_in parse(const std::string &address)
{
	size_t colon = address.find(':');
	struct sockaddr_in parsed = {};

	parsed.sin_family = AF_INET;
	parsed.sin_port = htons((uint16_t)std::stoi(address.substr(colon + 1)));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
	return parsed;
}

} // namespace

Proxy::Proxy(const std::string &listen_at, const std::string &forward_to)
    : server(forward_to)
{
	struct sockaddr_in address = parse(listen_at);
	int on = 1;

	listener =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(listener, 64))
		throw std::runtime_error("proxy cannot listen on " + listen_at);
	thread = std::thread([this] { run(); });
}

Proxy::~Proxy()
{
	stopped = true;
	thread.join();
	for (Conn &conn : conns)
		close_conn(conn, true);
	close(listener);
}

void Proxy::set(Mode wanted)
{
	mode = wanted;
}

void Proxy::reset()
{
	wants_reset = true;
}

int Proxy::nr_conns() const
{
	return accepted;
}

bool Proxy::is_silent(int way) const
{
	return mode == SILENCE_BOTH || mode == (way ? SILENCE_OUT : SILENCE_IN);
}

void Proxy::close_conn(Conn &conn, bool with_reset)
{
	struct linger linger = { with_reset, 0 };

	for (int fd : { conn.ways[0].from, conn.ways[1].from }) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		close(fd);
	}
}

/* A server that is not there resets the connection at once. */
void Proxy::accept_one()
{
	struct sockaddr_in address = parse(server);
	int in = accept4(listener, nullptr, nullptr,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);
	Conn conn;
	int out;

	if (in < 0)
		return;
	out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	conn.ways[0].from = conn.ways[1].to = in;
	conn.ways[0].to = conn.ways[1].from = out;
	if (connect(out, (struct sockaddr *)&address, sizeof(address))) {
		close_conn(conn, true);
		return;
	}
	fcntl(out, F_SETFL, O_NONBLOCK);
	accepted++;
	conns.push_back(std::move(conn));
}

bool Proxy::pump(Way &way, bool silent)
{
	char buffer[PIECE_BYTES];
	ssize_t n = 0;

	if (silent)
		return true;
	while (!way.ended && way.pieces.size() < PIECES_MAX &&
	       (n = read(way.from, buffer, sizeof(buffer))) > 0)
		way.pieces.push_back(
			{ std::vector<char>(buffer, buffer + n),
			  now_ms() + (mode == DELAY ? DELAY_MS : 0) });
	if (n < 0 && errno != EAGAIN)
		return false;
	way.ended |= !n && way.pieces.size() < PIECES_MAX;
	while (!way.pieces.empty() && way.pieces.front().due_ms <= now_ms()) {
		std::vector<char> &bytes = way.pieces.front().bytes;

		n = send(way.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN;
		bytes.erase(bytes.begin(), bytes.begin() + n);
		if (bytes.empty())
			way.pieces.pop_front();
	}
	if (way.ended && way.pieces.empty() && !way.closed) {
		shutdown(way.to, SHUT_WR);
		way.closed = true;
	}
	return true;
}

void Proxy::run()
{
	while (!stopped) {
		struct pollfd wait = { listener, POLLIN, 0 };
		bool with_reset = wants_reset.exchange(false);

		if (poll(&wait, 1, TURN_MS) > 0)
			accept_one();
		for (auto conn = conns.begin(); conn != conns.end();) {
			bool lost = with_reset ||
				    !pump(conn->ways[0], is_silent(0)) ||
				    !pump(conn->ways[1], is_silent(1));

			if (!lost &&
			    !(conn->ways[0].closed && conn->ways[1].closed)) {
				conn++;
				continue;
			}
			close_conn(*conn, lost);
			conn = conns.erase(conn);
		}
	}
}
