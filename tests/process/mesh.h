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
 * A mesh of real processes on 127.0.0.x: stand-ins for the configuration source
 * and the host list, and for each host a daemon, with a stand-in backend server
 * if the host is a target. Hosts are numbered from 0 and named h0, h1, ...;
 * host i is in availability zone z(i mod 3). Only the thread that constructed
 * the mesh starts processes, since they are killed when that thread exits.
 */

struct MeshOptions {
	int hosts = 3;
	int targets = 3; /* the first hosts are targets of service "portal" */
	std::vector<std::string> backend = { "--service-ms", "2" };
	std::string defaults = R"("deadline_ms": 5000)";
	int source_interval_ms = 1000;
};

struct Host {
	std::string name, zone;
	std::string caller, traffic, control, operators;
	std::string backend, backend_control; /* "": no backend server */
	std::string settings, log;
	std::string executions; /* execution log of the backend server */
	struct process daemon = {}, server = {};
};

/* Contents of the next published configuration. */
struct Plan {
	int version = 0;
	std::string defaults;	   /* members of the object "defaults" */
	std::set<std::string> out; /* zones out of service */
	std::string routes; /* additional routes, each preceded by a comma */
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

/* A configuration version: parts by name, and the manifest. */
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
	/* Publishes version 1, starts all processes, waits until all serve. */
	explicit Mesh(const MeshOptions &options = {});
	Mesh(const Mesh &) = delete;
	~Mesh();

	MeshOptions options;
	std::vector<Host> hosts;
	Plan plan;
	Standin source, host_list;

	Rendered render(int version);
	void put(const Rendered &rendered);
	/* Renders the plan as a version of this number and publishes it. */
	void publish(int version);

	void start_daemon(int host);
	void start_backend(int host);
	/* Kill with SIGKILL and reap. */
	void kill_daemon(int host);
	void kill_backend(int host);
	void signal_daemon(int host, int signal);
	/* Whether the backend server has exited; reaps it. */
	bool has_exited(int host);

	Status status(int host) const;
	/* Whether all running daemons serve with this version number. */
	bool all_serve_version(int version) const;
	/* Waits for all_serve_version(); fails the test after a timeout. */
	void wait_for(int version) const;
	/* The concurrency limit of a target, -1 if not in its dump. */
	int limit(int host) const;

	/* Sends a request to the caller address of a daemon. */
	Answer send(int host, const char *method, const std::string &target,
		    const std::string &headers = "",
		    const std::string &body = "") const;
	/* Sends a POST to /portal/orders with a ticket. */
	Answer order(int host, const std::string &ticket) const;
	/* Gets a ticket for /portal/orders, and the host that it names. */
	std::string ticket(int through, int *host) const;
	/* Sends GETs through a host until one gets a 200. */
	void wait_until_served(int through) const;

	/*
	 * Number of executions (except of GET) at one backend server, or at
	 * all, whose record contains a text. They are read from the log files,
	 * which persist when a backend server exits.
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
 * Polls /status of all daemons during its lifetime. It is a violation if a
 * daemon serves with an older version than before, even across a restart.
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

/* Sends requests with distinct URLs in a loop and checks the echoed URL. */
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
	/* The last answer that echoed another URL; read after finish(). */
	std::string mismatch;

      private:
	const Mesh &mesh;
	std::string method, path;
	std::atomic<bool> stop{ false };
	std::mutex mutex;
	std::vector<std::thread> threads;

	void run(int host, size_t id);
};

#endif
