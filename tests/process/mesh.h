#ifndef PROCESS_MESH_H
#define PROCESS_MESH_H

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "support/standin.hh"

/*
 * A mesh of real processes on 127.0.0.x: the stand-ins of the source and the
 * host list, and for each host a daemon, with a stand-in backend server where
 * the host is a target. Hosts are numbered from 0 and named h0, h1, ...; host
 * i is in availability zone z(i mod 3). Processes are started and signalled
 * from the thread that made the mesh, since they end with their parent thread.
 */

struct MeshOptions {
	int hosts = 3;
	int targets = 3; /* the first hosts, all of service "portal" */
	std::vector<std::string> backend = { "--service-ms", "2" };
	std::string defaults = R"("deadline_ms": 5000)";
	int source_interval_ms = 1000;
};

struct Host {
	std::string name, zone;
	std::string caller, traffic, control, operators;
	std::string backend, backend_control; /* "" without one */
	std::string settings, log;
	std::string executions; /* log of its backend server */
	struct process daemon = {}, server = {};
};

/* What the next published tree says. */
struct Plan {
	int version = 0;
	std::string defaults;	   /* members of the object "defaults" */
	std::set<std::string> out; /* zones out of service */
	std::string routes;	   /* more routes, each with a comma before */
};

struct Version {
	json_int_t number = -1;
	std::string digest;

	bool operator<(const Version &other) const
	{
		return number != other.number ? number < other.number
					      : digest < other.digest;
	}
};

struct Status {
	bool answered = false;
	bool serving = false;
	bool conflict = false;
	Version version;
	std::string refused; /* JSON array of refused versions */
};

/* A rendered version: parts by name, and the manifest. */
struct Rendered {
	std::vector<std::pair<std::string, std::string>> parts;
	std::string manifest;

	/* The manifest's SHA-256 in hex. */
	std::string digest() const;
	/* Replaces the text of a part and lists its digest in the manifest. */
	void replace(const std::string &part, const std::string &from,
		     const std::string &to);
};

class Mesh
{
      public:
	/* Starts all processes, publishes version 1, waits until all serve. */
	explicit Mesh(const MeshOptions &options = {});
	Mesh(const Mesh &) = delete;
	~Mesh();

	MeshOptions options;
	std::vector<Host> hosts;
	Plan plan;
	Standin source, host_list;

	Rendered render(int version);
	void put(const Rendered &rendered);
	/* Renders the plan under a number and publishes it. */
	void publish(int version);

	void start_daemon(int host);
	void start_backend(int host);
	/* SIGKILL and reap. */
	void kill_daemon(int host);
	void kill_backend(int host);
	void signal_daemon(int host, int signal);
	/* Whether the backend server has ended; reaps it. */
	bool has_died(int host);

	Status status(int host) const;
	/* Whether all running daemons serve by this version number. */
	bool all_at(int version) const;
	/* Fails the test unless that becomes so. */
	void wait_for(int version) const;
	/* The concurrency limit of a target, -1 when it is not told. */
	int limit(int host) const;

	/* A request to the caller address of a daemon. */
	Answer send(int host, const char *method, const std::string &target,
		    const std::string &headers = "",
		    const std::string &body = "") const;
	/* A POST to /portal/orders with a ticket. */
	Answer order(int host, const std::string &ticket) const;
	/* A ticket for /portal/orders, and the host that it names. */
	std::string ticket(int through, int *host) const;
	/* Sends GETs through a host until one is answered with 200. */
	void wait_until_served(int through) const;

	/*
	 * Executions (not of GET) at a backend server, or at all of them, whose
	 * record contains a text. They come from the log files, which outlive
	 * a backend server.
	 */
	int runs(int host, const std::string &text) const;
	int runs(const std::string &text) const;

      private:
	std::string directory;

	void write_settings(const Host &host) const;
	std::string tree_text(int version) const;
	void list_hosts();
};

/*
 * Watches all daemons through /status while it exists. A daemon that serves
 * by an older version than it once did, also before a restart, is a violation.
 */
class VersionWatch
{
      public:
	explicit VersionWatch(const Mesh &mesh);
	~VersionWatch(); /* fails the test on a violation */

      private:
	const Mesh &mesh;
	std::atomic<bool> stop{ false };
	std::mutex mutex;
	std::string violation;
	std::vector<std::thread> threads;

	void watch(int host);
};

/* Requests with distinct paths in a loop, each answer checked for its echo. */
class Load
{
      public:
	Load(const Mesh &mesh, const char *method, const std::string &path,
	     const std::vector<int> &through);
	~Load();

	void finish();
	std::atomic<long> ok{ 0 }, failed{ 0 };
	/* Why the first request failed; read after finish(). */
	std::string first_failure;
	/* The first answer that echoed another request; likewise. */
	std::string foreign;

      private:
	const Mesh &mesh;
	std::string method, path;
	std::atomic<bool> stop{ false };
	std::mutex mutex;
	std::vector<std::thread> threads;

	void run(int host, size_t id);
};

#endif
