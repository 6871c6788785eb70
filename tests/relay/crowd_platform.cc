#include "crowd_platform.h"

#include <unistd.h>

/* A route to the service "docs", which only the last host has. */
static const char *const docs_row =
	R"(,["docs","mesh.example","/docs/","idempotent","3s","1s",2,"docs",2])";

std::string crowd_head(const std::string &path, const std::string &framing)
{
	return "POST " + path +
	       " HTTP/1.1\r\nHost: mesh.example\r\nX-Request-Id: crowd\r\n" +
	       framing + "\r\n\r\n";
}

std::string crowd_announced(const std::string &path, size_t length, size_t sent)
{
	return crowd_head(path, "Content-Length: " + std::to_string(length)) +
	       std::string(sent, 'x');
}

std::string crowd_chunks(const std::string &path, size_t size, size_t nr,
			 const std::string &extension)
{
	std::string text = crowd_head(path, "Transfer-Encoding: chunked");
	char line[32];

	snprintf(line, sizeof(line), "%zx", size);
	for (size_t i = 0; i < nr; i++)
		text += line + extension + "\r\n" + std::string(size, 'x') +
			"\r\n";
	return text;
}

void crowd_start(Platform &in, const std::vector<std::string> &limits,
		 int body_max)
{
	int last = (int)in.hosts.size() - 1;

	for (size_t i = 0; i < in.hosts.size(); i++) {
		if ((int)i < last)
			continue;
		in.hosts[i].service = "docs";
		in.set((int)i, "service=docs");
		for (const std::string &line : limits)
			in.set((int)i, line);
	}
	in.start_all(docs_row, body_max);
}

Usage crowd_usage(const PlatformHost &host)
{
	return Usage(host.daemon.pid, { host.callers, host.peers });
}

void crowd_run(const std::vector<Crowd *> &crowds, Usage &usage)
{
	bool done = false;

	for (int i = 0; i < 2000 && !done; i++) {
		done = true;
		for (Crowd *crowd : crowds)
			done &= crowd->send_some();
		usage.sample();
		usleep(10000);
	}
	for (int i = 0; i < 20; i++) {
		usage.sample();
		usleep(50000);
	}
}

void crowd_expect_served(Platform &in, const Usage &usage, size_t memory_max)
{
	int last = (int)in.hosts.size() - 1;

	printf("peak: %zu bytes, %zu of them unread, %zu descriptors\n",
	       usage.peak_bytes(), usage.unread_at_peak(),
	       usage.peak_descriptors());
	EXPECT_EQ(waitpid(in.hosts[(size_t)last].daemon.pid, nullptr, WNOHANG),
		  0);
	EXPECT_LE(usage.peak_bytes(), memory_max);
	EXPECT_TRUE(eventually([&] {
		return in.send_request(last, "POST", "/docs/1", "small")
			       .status == 200;
	}));
}
