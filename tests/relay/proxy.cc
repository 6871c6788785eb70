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

const int POLL_MS = 2;
const int DELAY_MS = 100;
const size_t CHUNKS_MAX = 64; /* held for each direction */
const size_t CHUNK_BYTES = 16384;

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

bool Proxy::is_stalled(int direction) const
{
	return mode == STALL_BOTH ||
	       mode == (direction ? STALL_FROM_SERVER : STALL_TO_SERVER);
}

void Proxy::close_conn(Conn &conn, bool with_reset)
{
	struct linger linger = { with_reset, 0 };

	for (int fd : { conn.directions[0].from, conn.directions[1].from }) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		close(fd);
	}
}

/* Resets the connection if the server cannot be connected to. */
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
	conn.directions[0].from = conn.directions[1].to = in;
	conn.directions[0].to = conn.directions[1].from = out;
	if (connect(out, (struct sockaddr *)&address, sizeof(address))) {
		close_conn(conn, true);
		return;
	}
	fcntl(out, F_SETFL, O_NONBLOCK);
	accepted++;
	conns.push_back(std::move(conn));
}

bool Proxy::pump(Direction &direction, bool stalled)
{
	char buffer[CHUNK_BYTES];
	ssize_t n = 0;

	if (stalled)
		return true;
	while (!direction.ended && direction.chunks.size() < CHUNKS_MAX &&
	       (n = read(direction.from, buffer, sizeof(buffer))) > 0)
		direction.chunks.push_back(
			{ std::vector<char>(buffer, buffer + n),
			  now_ms() + (mode == DELAY ? DELAY_MS : 0) });
	if (n < 0 && errno != EAGAIN)
		return false;
	direction.ended |= !n && direction.chunks.size() < CHUNKS_MAX;
	while (!direction.chunks.empty() &&
	       direction.chunks.front().due_ms <= now_ms()) {
		std::vector<char> &bytes = direction.chunks.front().bytes;

		n = send(direction.to, bytes.data(), bytes.size(),
			 MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN;
		bytes.erase(bytes.begin(), bytes.begin() + n);
		if (bytes.empty())
			direction.chunks.pop_front();
	}
	if (direction.ended && direction.chunks.empty() &&
	    !direction.shut_down) {
		shutdown(direction.to, SHUT_WR);
		direction.shut_down = true;
	}
	return true;
}

void Proxy::run()
{
	while (!stopped) {
		struct pollfd wait = { listener, POLLIN, 0 };
		bool with_reset = wants_reset.exchange(false);

		if (poll(&wait, 1, POLL_MS) > 0)
			accept_one();
		for (auto conn = conns.begin(); conn != conns.end();) {
			bool lost = with_reset ||
				    !pump(conn->directions[0], is_stalled(0)) ||
				    !pump(conn->directions[1], is_stalled(1));

			if (!lost && !(conn->directions[0].shut_down &&
				       conn->directions[1].shut_down)) {
				conn++;
				continue;
			}
			close_conn(*conn, lost);
			conn = conns.erase(conn);
		}
	}
}
