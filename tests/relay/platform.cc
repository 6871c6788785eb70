#include "platform.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>

static std::string port_of(const std::string &address)
{
	return address.substr(address.find(':') + 1);
}

static void write_file(const std::string &path, const std::string &text)
{
	std::ofstream(path) << text;
}

/* Spread by process id, so that parallel tests use different addresses. */
static std::string ip_of(int index)
{
	return "127.0.0." +
	       std::to_string(2 + (getpid() + 60 * (index + 1)) % 250);
}

/* A port that is free on all hosts, as parallel tests may share an address. */
static std::string common_port(int hosts)
{
	char address[ADDRESS_CHARS];
	bool is_free;
	std::string port;

	do {
		is_free = true;
		free_address(address);
		port = port_of(address);
		for (int i = 0; i < hosts; i++)
			is_free &= address_is_free(
				(ip_of(i) + ":" + port).c_str());
	} while (!is_free);
	return port;
}

/* The value at a path of members; null if there is none. */
static const json_t *value_at(const json_t *value,
			      const std::vector<const char *> &path)
{
	for (const char *member : path)
		value = json_object_get(value, member);
	return value;
}

Platform::Platform(int count, const std::vector<std::string> &backend,
		   bool links)
    : backend_options(backend)
{
	char pattern[] = "/tmp/test-relay-XXXXXX";

	directory = mkdtemp(pattern);
	store = std::make_unique<Standin>(STANDIN_STORE);
	/* Ports are the same on all hosts. */
	for (std::string &port : ports)
		port = common_port(count);
	hosts.resize((size_t)count);
	for (int i = 0; i < count; i++)
		add_host(i, links);
}

Platform::~Platform()
{
	for (PlatformHost &host : hosts) {
		process_kill(&host.daemon);
		process_kill(&host.server);
		unlink(host.log.c_str());
		unlink(host.settings.c_str());
	}
	rmdir(directory.c_str());
}

void Platform::start_server(PlatformHost &host)
{
	std::vector<const char *> argv = { STANDIN_TARGET,
					   "--listen",
					   host.backend.c_str(),
					   "--control",
					   host.backend_control.c_str(),
					   "--id",
					   host.id.c_str() };

	for (const std::string &option : backend_options)
		argv.push_back(option.c_str());
	argv.push_back(nullptr);
	ASSERT_TRUE(process_start(&host.server, argv.data(), nullptr));
	ASSERT_TRUE(process_wait_listening(&host.server,
					   host.backend_control.c_str(),
					   30000));
}

void Platform::restart_server(int index, const std::string &id)
{
	PlatformHost &host = hosts[(size_t)index];

	process_kill(&host.server);
	host.id = id;
	start_server(host);
}

void Platform::add_host(int index, bool links)
{
	PlatformHost &host = hosts[(size_t)index];
	char address[ADDRESS_CHARS], control[ADDRESS_CHARS];
	std::string text, listen_peers, store_address = store->address;

	free_address(address);
	host.ip = ip_of(index);
	host.zone = "z" + std::to_string(index % 3);
	host.service = index % 4 == 3 ? "docs" : "shop";
	host.id = "i-" + std::to_string(++next_id);
	host.callers = host.ip + ":" + ports[0];
	host.ready = host.ip + ":" + ports[1];
	host.peers = host.ip + ":" + ports[2];
	host.operators =
		host.ip + ":" + std::to_string(std::stoi(ports[3]) + 1);
	host.log = directory + "/daemon" + std::to_string(index);
	host.settings = directory + "/settings" + std::to_string(index);
	free_address_at(host.ip.c_str(), address);
	free_address_at(host.ip.c_str(), control);
	host.backend = address;
	host.backend_control = control;
	listen_peers = host.peers;
	if (links) {
		char link[ADDRESS_CHARS];

		/* The proxy takes the host's address, the daemon 127.0.1.x. */
		listen_peers = "127.0.1" + host.peers.substr(7);
		free_address_at(host.ip.c_str(), link);
		store_address = link;
		host.peer_proxy =
			std::make_unique<Proxy>(host.peers, listen_peers);
		host.store_proxy =
			std::make_unique<Proxy>(link, store->address);
	}
	start_server(host);
	text = "node=h" + std::to_string(index) + "\nzone=" + host.zone +
	       "\nregion=r\nip=" + host.ip + "\nservice=" + host.service +
	       "\napp_addr=" + host.backend +
	       "\nlisten.egress=" + host.callers +
	       "\nlisten.ingress=" + listen_peers +
	       "\nlisten.readiness=" + host.ready + "\nport_range=" + ports[3] +
	       "," + std::to_string(std::stoi(ports[3]) + 3) +
	       "\nprovider.address=" + store_address +
	       "\nbounds.retry_budget_ratio=0.2\nbounds.budget_slack=200"
	       "\nbounds.warmup_overage=1.5\nbounds.warmup_slack=5"
	       "\nbounds.grace=5s\n";
	write_file(host.settings, text);
}

void Platform::put_item(const std::string &key, const std::string &value)
{
	ASSERT_EQ(call(store->control, "PUT", "/item?key=" + key, "", value)
			  .status,
		  200);
}

void Platform::delete_item(const std::string &key)
{
	ASSERT_EQ(call(store->control, "DELETE", "/item?key=" + key).status,
		  200);
}

json_int_t Platform::store_calls()
{
	return atoll(call(store->control, "GET", "/calls").body.c_str());
}

void Platform::copy_store()
{
	ASSERT_EQ(call(store->control, "POST", "/copy").status, 200);
}

void Platform::restore_store()
{
	ASSERT_EQ(call(store->control, "POST", "/restore").status, 200);
}

void Platform::send_era(const std::string &text)
{
	ASSERT_EQ(call(store->control, "POST",
		       text.empty() ? "/era" : "/era?text=" + text)
			  .status,
		  200);
}

void Platform::publish_config(int version, const std::string &rows,
			      int body_max_bytes)
{
	std::string tenants;

	if (!organisations.empty())
		tenants = R"(,"tenants":{"columns":["name","api_keys",
"priority","rate_per_s","burst"],"rows":[)" +
			  organisations + "]}";
	put_item("op/config",
		 R"({"resource_version":"r)" + std::to_string(version) +
			 R"(","routes":{"columns":["name","hostname",
"path_prefix","kind","timeout","target_latency","priority","service","attempts",
"anonymous"],
"rows":[["orders","mesh.example","/orders/","non_idempotent","3s","1s",1,"shop",
2],["stock","mesh.example","/stock/","idempotent","3s","1s",2,"shop",2])" +
			 rows +
			 R"(]},"services":{"columns":["name","health_path",
"max_connections","warmup_per_s"],"rows":[["shop","/health",100,16],
["docs","/health",100,16]]},"limits":{"max_header_bytes":16384,
"max_body_bytes":)" + std::to_string(body_max_bytes) +
			 R"(,"header_timeout":"3s","idle_timeout":"15s"})" +
			 tenants + "}");
}

void Platform::publish_write(int index, const std::string &phase, int sequence,
			     long born)
{
	PlatformHost &host = hosts[(size_t)index];

	put_item("servers/" + host.id,
		 R"({"service":")" + host.service + R"(","address":")" +
			 host.backend + R"(","zone":")" + host.zone +
			 R"(","resource_version":"v1","max_concurrency":4,
"phase":")" + phase + R"(","warmup_left":"0ms","sequence":)" +
			 std::to_string(sequence) + R"(,"born":)" +
			 std::to_string(born) + "}");
}

void Platform::publish_entry(int index, const std::string &phase)
{
	PlatformHost &host = hosts[(size_t)index];

	publish_write(index, phase, ++host.sequence, host.born);
}

void Platform::set(int index, const std::string &line)
{
	std::ofstream(hosts[(size_t)index].settings, std::ios::app)
		<< line << "\n";
}

void Platform::start_daemon(int index)
{
	PlatformHost &host = hosts[(size_t)index];
	const char *const argv[] = { GODWITSPUR, "relay", host.settings.c_str(),
				     nullptr };

	std::ofstream(host.settings, std::ios::app) << more_settings;
	ASSERT_TRUE(process_start(&host.daemon, argv, host.log.c_str()));
	ASSERT_TRUE(process_wait_listening(&host.daemon, host.ready.c_str(),
					   30000));
}

void Platform::stop_server(int index)
{
	process_kill(&hosts[(size_t)index].server);
}

void Platform::start_all(const std::string &rows, int body_max_bytes)
{
	publish_config(1, rows, body_max_bytes);
	for (size_t i = 0; i < hosts.size(); i++) {
		publish_entry((int)i);
		start_daemon((int)i);
	}
	for (size_t i = 0; i < hosts.size(); i++) {
		ASSERT_TRUE(eventually([&] {
			return call(hosts[i].ready, "GET", "/readyz").status ==
			       200;
		}));
		ASSERT_TRUE(eventually([&] {
			json_t *state = dump((int)i);
			const json_t *peers =
				value_at(state, { "control", "peers" });
			const json_t *in_service =
				value_at(state, { "backend", "in_service" });
			bool done = json_is_true(in_service) &&
				    json_array_size(peers) + 1 == hosts.size();

			json_decref(state);
			return done;
		}));
	}
}

CallerAnswer Platform::send_request(int index, const char *method,
				    const std::string &path,
				    const std::string &body, int time_left_ms)
{
	return send_with_id("r" + std::to_string(++next_id), index, method,
			    path, body, time_left_ms);
}

CallerAnswer Platform::send_with_id(const std::string &id, int index,
				    const char *method, const std::string &path,
				    const std::string &body, int time_left_ms)
{
	return send(id, index, method, path, body, time_left_ms, nullptr);
}

CallerAnswer Platform::send_with_fields(int index, const char *method,
					const std::string &path,
					const std::string &fields)
{
	return send("r" + std::to_string(++next_id), index, method, path, "",
		    3000, nullptr, fields);
}

CallerAnswer Platform::call_from_server(int index, const std::string &path,
					const std::string &fields)
{
	return send("c" + std::to_string(++next_id), index, "GET", path, "",
		    3000, hosts[(size_t)index].ip.c_str(), fields);
}

CallerAnswer Platform::send(const std::string &id, int index,
			    const char *method, const std::string &path,
			    const std::string &body, int time_left_ms,
			    const char *source, const std::string &fields)
{
	std::string headers =
		"Host: mesh.example\r\nX-Request-Id: " + id +
		"\r\nX-Timeout-Ms: " + std::to_string(time_left_ms) +
		"\r\nX-Other: kept\r\n"
		"X-Caller-Service: forged\r\n" +
		fields;
	struct http_request request = {};
	struct http_response response;
	CallerAnswer answer;
	auto header = [&response](const char *name) {
		const char *value = http_header(&response, name);
		return std::string(value ? value : "");
	};

	request.source = source;
	request.address = hosts[(size_t)index].callers.c_str();
	request.method = method;
	request.target = path.c_str();
	request.headers = headers.c_str();
	request.body = body.empty() ? nullptr : body.data();
	request.body_len = body.size();
	answer.status = http_send(&request, &response);
	answer.body.assign((const char *)response.body->data,
			   response.body->len);
	answer.refused = response.refused;
	answer.retry_after = header("retry-after");
	answer.signature = header("x-server-signature");
	answer.id = header("x-request-id");
	if (answer.status == 200) {
		EXPECT_EQ(answer.id, id);
	}
	http_response_release(&response);
	return answer;
}

int Platform::nr_in_service(int host)
{
	std::string text = call(hosts[(size_t)host].operators, "GET",
				"/explain?host=mesh.example&path=/stock/1")
				   .body;
	size_t end = text.find(" in service");
	size_t begin = text.rfind(' ', end - 1);

	return end == std::string::npos ? -1 : atoi(text.c_str() + begin);
}

json_t *Platform::dump(int index)
{
	return json_loads(call(hosts[(size_t)index].operators, "GET", "/dump")
				  .body.c_str(),
			  0, nullptr);
}

json_int_t Platform::dump_number(int index,
				 const std::vector<const char *> &path)
{
	json_t *state = dump(index);
	const json_t *value = value_at(state, path);
	json_int_t number = -1;

	if (json_is_boolean(value))
		number = json_is_true(value);
	else if (json_is_integer(value))
		number = json_integer_value(value);
	json_decref(state);
	return number;
}

std::string Platform::dump_text(int index,
				const std::vector<const char *> &path)
{
	json_t *state = dump(index);
	const char *text = json_string_value(value_at(state, path));
	std::string copy = text ? text : "";

	json_decref(state);
	return copy;
}

json_t *Platform::server_state(int index)
{
	return json_loads(call(hosts[(size_t)index].backend_control, "GET",
			       "/state")
				  .body.c_str(),
			  0, nullptr);
}

std::vector<std::string> Platform::run_ids(int index)
{
	json_t *state = server_state(index);
	std::vector<std::string> ids;
	json_t *run;
	size_t i;

	json_array_foreach (json_object_get(state, "runs"), i, run)
		ids.push_back(json_string_value(json_object_get(run, "id")));
	json_decref(state);
	return ids;
}

size_t Platform::runs(int index)
{
	json_t *state = server_state(index);
	size_t nr = json_array_size(json_object_get(state, "runs"));

	json_decref(state);
	return nr;
}

std::string Platform::last_run(int index, const char *member)
{
	json_t *state = server_state(index);
	json_t *array = json_object_get(state, "runs");
	size_t nr = json_array_size(array);
	const char *text = nr ? json_string_value(json_object_get(
					json_array_get(array, nr - 1), member))
			      : nullptr;
	std::string value = text ? text : "";

	json_decref(state);
	return value;
}

json_int_t Platform::state_number(int index, const char *member)
{
	json_t *state = server_state(index);
	json_int_t value = json_integer_value(json_object_get(state, member));

	json_decref(state);
	return value;
}

void Platform::fault(int index, const std::string &query)
{
	ASSERT_EQ(call(hosts[(size_t)index].backend_control, "POST",
		       "/fault?mode=" + query)
			  .status,
		  200);
}
