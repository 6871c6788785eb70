#include "crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

static sockaddr_in parse(const std::string &address)
{
	size_t colon = address.find(':');
	sockaddr_in in = {};

	in.sin_family = AF_INET;
	in.sin_port = htons((uint16_t)atoi(address.c_str() + colon + 1));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &in.sin_addr);
	return in;
}

Crowd::Crowd(const std::string &address, const std::string &bytes, int size,
	     size_t nr)
    : payload(bytes), per_pass(nr)
{
	sockaddr_in in = parse(address);

	for (int i = 0; i < size; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		if (!connect(fd, (const sockaddr *)&in, sizeof(in)))
			members.push_back({ fd, 0 });
		else
			close(fd);
	}
}

Crowd::~Crowd()
{
	for (Member &member : members)
		close(member.fd);
}

bool Crowd::send_some()
{
	started = std::min(members.size(), started + per_pass);
	bool done = started == members.size();

	for (size_t i = 0; i < started; i++) {
		Member &member = members[i];
		size_t left = payload.size() - member.sent;
		ssize_t n = left ? send(member.fd, payload.data() + member.sent,
					std::min<size_t>(left, 1000000),
					MSG_DONTWAIT | MSG_NOSIGNAL)
				 : 0;

		if (n > 0)
			member.sent += (size_t)n;
		else if (n < 0 && errno != EAGAIN)
			member.sent = payload.size(); /* it was closed */
		done &= member.sent == payload.size();
	}
	return done;
}

int Crowd::nr_open()
{
	char byte;

	return (int)std::count_if(members.begin(), members.end(),
				  [&byte](const Member &member) {
					  return recv(member.fd, &byte, 1,
						      MSG_PEEK | MSG_DONTWAIT) <
							 0 &&
						 errno == EAGAIN;
				  });
}

Usage::Usage(pid_t pid, const std::vector<std::string> &addresses)
    : directory("/proc/" + std::to_string(pid))
{
	for (const std::string &address : addresses) {
		sockaddr_in in = parse(address);
		char key[32];

		snprintf(key, sizeof(key), " %08X:%04X ", in.sin_addr.s_addr,
			 ntohs(in.sin_port));
		keys.push_back(key);
	}
}

size_t Usage::status_bytes(const char *name) const
{
	std::ifstream file(directory + "/status");
	std::string line;

	while (std::getline(file, line)) {
		if (!line.compare(0, strlen(name), name))
			return (size_t)atol(line.c_str() + strlen(name)) * 1024;
	}
	return 0;
}

size_t Usage::unread_bytes() const
{
	std::ifstream file("/proc/net/tcp");
	size_t sum = 0;
	std::string line;

	while (std::getline(file, line)) {
		std::string number, local, remote, state, queues;

		/* The local address comes before the remote one. */
		std::istringstream(line) >> number >> local >> remote >>
			state >> queues;
		local = " " + local + " ";
		if (std::find(keys.begin(), keys.end(), local) != keys.end() &&
		    state == "01")
			sum += strtoul(queues.c_str() + queues.find(':') + 1,
				       nullptr, 16);
	}
	return sum;
}

void Usage::sample()
{
	std::error_code error;
	size_t nr = 0, unread;

	unread = unread_bytes();
	if (status_bytes("VmRSS:") + unread > peak) {
		peak = status_bytes("VmRSS:") + unread;
		peak_unread = unread;
	}
	peak = std::max(peak, status_bytes("VmHWM:"));
	for (const auto &entry :
	     std::filesystem::directory_iterator(directory + "/fd", error)) {
		(void)entry;
		nr++;
	}
	descriptors = std::max(descriptors, nr);
}

size_t Usage::peak_bytes() const
{
	return peak;
}

size_t Usage::unread_at_peak() const
{
	return peak_unread;
}

size_t Usage::peak_descriptors() const
{
	return descriptors;
}
