#ifndef RELAY_PLATFORM_H
#define RELAY_PLATFORM_H

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "proxy.h"
#include "support/standin.hh"

/*
 * A small platform of real processes on 127.0.0.x: a stand-in for the store,
 * and on each host a daemon and a stand-in for its backend server. Hosts are
 * numbered from 0; host i is in availability zone z(i mod 3).
 */

struct PlatformHost {
	std::string ip, zone, service, id;
	std::string callers, ready, operators;
	std::string settings, log;
	std::string peers; /* where daemons send requests */
	int sequence = 0;  /* of the server's last entry */
	long born = 5;	   /* Unix ms of the server's start, in its entries */
	std::string backend, backend_control;
	struct process daemon = {}, server = {};
	/* Between other daemons and this one; between it and the store. */
	std::unique_ptr<Proxy> peer_proxy, store_proxy;
};

/* The response that a caller received; status 0: none. */
struct CallerAnswer {
	int status = 0;
	bool refused = false; /* the connection was refused */
	std::string body, retry_after, signature, id;
};

class Platform
{
      public:
	/*
	 * With links, a proxy carries the connections of other daemons to each
	 * daemon, and another one those of the daemon to the store.
	 */
	explicit Platform(int hosts,
			  const std::vector<std::string> &backend = {},
			  bool links = false);
	~Platform();

	/* Publishes a configuration with two routes and the given rows. */
	void publish_config(int version, const std::string &rows = "",
			    int body_max_bytes = 1000000);
	/* Publishes the entry of a host's server. */
	void publish_entry(int host, const std::string &phase = "ready");
	/* The same as a given write of a given start, such as a late one. */
	void publish_write(int host, const std::string &phase, int sequence,
			   long born);
	void delete_item(const std::string &key);
	void put_item(const std::string &key, const std::string &value);
	json_int_t store_calls();
	/* Takes a copy of the store; the next restore returns to it. */
	void copy_store();
	void restore_store();
	/* The store sends its era from now on, or the text instead of it. */
	void send_era(const std::string &text = "");

	/* Adds a line to a host's settings; the last value of a key counts. */
	void set(int host, const std::string &line);
	void start_daemon(int host);
	void stop_server(int host);
	/* Starts the server of a host, which has ended, as its next boot. */
	void restart_server(int host, const std::string &id);
	/*
	 * Publishes the configuration and all entries, starts all daemons and
	 * waits until each is ready, its server in service, and it has the
	 * other daemons as peers.
	 */
	void start_all(const std::string &rows = "",
		       int body_max_bytes = 1000000);

	CallerAnswer send_request(int host, const char *method,
				  const std::string &path,
				  const std::string &body = "",
				  int time_left_ms = 3000);
	/* The same with a given request id. */
	CallerAnswer send_with_id(const std::string &id, int host,
				  const char *method, const std::string &path,
				  const std::string &body, int time_left_ms);
	/* The same with a new id and further header lines. */
	CallerAnswer send_with_fields(int host, const char *method,
				      const std::string &path,
				      const std::string &fields);
	/* Sends a request from the server of a host through its daemon. */
	CallerAnswer call_from_server(int host, const std::string &path,
				      const std::string &fields = "");
	/* The ids of the requests that a host's server ran. */
	std::vector<std::string> run_ids(int host);
	/* How many servers of the lookups' service a daemon has in service. */
	int nr_in_service(int host);
	/* The state dump of a daemon; the caller owns the reference. */
	json_t *dump(int host);
	/*
	 * A number, or a boolean as 0 or 1, at a path of members in the state
	 * dump of a daemon; -1 if there is none.
	 */
	json_int_t dump_number(int host, const std::vector<const char *> &path);
	/* A string at a path of members in the dump; "" if there is none. */
	std::string dump_text(int host, const std::vector<const char *> &path);
	/* The number of requests that a server ran; a member of the last. */
	size_t runs(int host);
	std::string last_run(int host, const char *member);
	/* The state of a host's server; the caller owns the reference. */
	json_t *server_state(int host);
	/* A number from the server's state. */
	json_int_t state_number(int host, const char *member);
	void fault(int host, const std::string &query);

	/*
	 * Rows of the organisations that publish_config() publishes; without
	 * any the configuration has no organisations. The columns are name,
	 * api_keys, priority, rate_per_s and burst.
	 */
	std::string organisations;
	/* Further lines of the settings of daemons that start from now on. */
	std::string more_settings;
	std::vector<PlatformHost> hosts;
	std::unique_ptr<Standin> store;

      private:
	CallerAnswer send(const std::string &id, int host, const char *method,
			  const std::string &path, const std::string &body,
			  int time_left_ms, const char *source,
			  const std::string &fields = "");
	void add_host(int index, bool links);
	void start_server(PlatformHost &host);
	std::string directory;
	std::vector<std::string> backend_options;
	std::string ports[5];
	std::atomic<int> next_id{ 0 }; /* tests send from several threads */
};

#endif
