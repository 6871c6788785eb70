#ifndef RELAY_PLATFORM_H
#define RELAY_PLATFORM_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "proxy.h"
#include "support/standin.hh"

/*
 * A small platform of real processes on 127.0.0.x: the store's stand-in, and on
 * each host a daemon beside a stand-in backend server. Hosts are numbered from
 * 0; host i is in availability zone z(i mod 3).
 */

struct PlatformHost {
	std::string ip, zone, service, id;
	std::string callers, ready, operators;
	std::string settings, log;
	std::string peers; /* where daemons send requests */
	std::string backend, backend_control;
	struct process daemon = {}, server = {};
	/* Between other daemons and this one, and between it and the store. */
	std::unique_ptr<Proxy> peers_link, store_link;
};

/* An answer to a caller. */
struct CallerAnswer {
	int status = 0;
	std::string body, retry_after, receipt, id;
};

class Platform
{
      public:
	/* With links, requests of daemons and calls of the store are proxied.
	 */
	explicit Platform(int hosts,
			  const std::vector<std::string> &backend = {},
			  bool links = false);
	~Platform();

	/* Publishes a configuration with two routes and more rows. */
	void publish_config(int version, const std::string &rows = "");
	/* Publishes the entry of a host's server, or takes it away. */
	void publish_entry(int host, const std::string &phase = "ready");
	void delete_item(const std::string &key);
	void put_item(const std::string &key, const std::string &value);
	json_int_t store_calls();

	void start_daemon(int host);
	void stop_server(int host);
	/* Publishes all and waits until all daemons are ready and know all. */
	void start_all();

	CallerAnswer ask(int host, const char *method, const std::string &path,
			 const std::string &body = "", int time_left_ms = 3000);
	/* The same with a request id of the caller's choice. */
	CallerAnswer ask_as(const std::string &id, int host, const char *method,
			    const std::string &path, const std::string &body,
			    int time_left_ms);
	/* A call that the server on a host makes through its daemon. */
	CallerAnswer call_from_server(int host, const std::string &path);
	/* The ids of the requests that a host's server has run. */
	std::vector<std::string> run_ids(int host);
	/* The state dump of a daemon; the reference is the caller's. */
	json_t *dump(int host);
	/* How many requests a server has run, and the member of its last. */
	size_t runs(int host);
	std::string last_run(int host, const char *member);
	/* A number of the state that a server tells. */
	json_int_t number(int host, const char *member);
	void fault(int host, const std::string &query);

	std::vector<PlatformHost> hosts;
	std::unique_ptr<Standin> store;

      private:
	CallerAnswer send(const std::string &id, int host, const char *method,
			  const std::string &path, const std::string &body,
			  int time_left_ms, const char *source);
	void add_host(int index, const std::vector<std::string> &backend,
		      bool links);
	std::string directory;
	std::string ports[5];
	int next_id = 0;
};

#endif
