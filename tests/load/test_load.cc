#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <microhttpd.h>

#include <cstring>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

extern "C" {
#include "load/load.h"
}

namespace
{

/* Issues tickets, and answers each request with the outcome in its path. */
class Server
{
      public:
	Server()
	{
		struct sockaddr_in address = {};

		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		daemon = MHD_start_daemon(
			MHD_USE_THREAD_PER_CONNECTION |
				MHD_USE_INTERNAL_POLLING_THREAD,
			0, nullptr, nullptr, answer, this, MHD_OPTION_SOCK_ADDR,
			&address, MHD_OPTION_END);
		if (daemon)
			port = MHD_get_daemon_info(daemon,
						   MHD_DAEMON_INFO_BIND_PORT)
				       ->port;
	}
	~Server()
	{
		if (daemon)
			MHD_stop_daemon(daemon);
	}

	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(port);
	}

	std::mutex mutex;
	int requests = 0; /* except requests for tickets */
	int tickets_issued = 0;
	std::map<std::string, int> keys; /* requests by Idempotency-Key */
	std::set<std::string> callers;

      private:
	static ssize_t truncate_body(void *, uint64_t at, char *buffer, size_t)
	{
		if (at)
			return MHD_CONTENT_READER_END_WITH_ERROR;
		*buffer = 'x';
		return 1;
	}

	int status_of(const std::string &path, const char *key)
	{
		if (path == "/resend")
			return keys[key ? key : ""] == 1 ? 409 : 200;
		if (path == "/" || path == "/cut")
			return 200;
		return 503;
	}

	static MHD_Result answer(void *self, struct MHD_Connection *connection,
				 const char *url, const char *method,
				 const char *, const char *, size_t *size,
				 void **state)
	{
		auto *server = static_cast<Server *>(self);

		if (!*state) {
			*state = server;
			return MHD_YES;
		}
		if (*size) {
			*size = 0;
			return MHD_YES;
		}
		return server->respond(connection, url, method);
	}

	MHD_Result respond(struct MHD_Connection *connection,
			   const std::string &path, const char *method)
	{
		std::lock_guard<std::mutex> lock(mutex);
		const char *key =
			MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
						    "Idempotency-Key");
		const char *caller =
			MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
						    "Godwitspur-Caller");
		static char body[] = "body";
		struct MHD_Response *response =
			path == "/cut"
				? MHD_create_response_from_callback(
					  4, 1, truncate_body, nullptr, nullptr)
				: MHD_create_response_from_buffer(
					  4, body, MHD_RESPMEM_PERSISTENT);
		int status = 200;

		if (path == "/.godwitspur/tickets") {
			EXPECT_STREQ(method, "POST");
			MHD_add_response_header(
				response, "Godwitspur-Ticket",
				("t" + std::to_string(tickets_issued++))
					.c_str());
		} else {
			requests++;
			keys[key ? key : ""]++;
			callers.insert(caller ? caller : "");
			status = status_of(path, key);
			if (path == "/resend" && status == 409)
				MHD_add_response_header(response,
							"Godwitspur-Outcome",
							"unknown");
			else if (status == 503 && path != "/none")
				MHD_add_response_header(response,
							"Godwitspur-Outcome",
							path.c_str() + 1);
		}
		auto result = MHD_queue_response(connection, (unsigned)status,
						 response);
		MHD_destroy_response(response);
		return result;
	}

	struct MHD_Daemon *daemon;
	unsigned port = 0;
};

struct load_options options_for(const std::string &address, int count)
{
	struct load_options options = {};

	options.addresses[0] = address.c_str();
	options.nr_addresses = 1;
	options.method = "GET";
	options.path = "/";
	options.concurrency = 4;
	options.count = count;
	options.seconds = 60;
	options.timeout = 30;
	return options;
}

/* The result is on the heap because its quantiles are large. */
std::unique_ptr<struct load_result> run(const struct load_options &options)
{
	auto result = std::make_unique<struct load_result>();

	EXPECT_TRUE(load_run(&options, result.get()));
	return result;
}

/* Guards against sending load to other hosts. */
TEST(LoadAddress, AcceptsOnlyLoopback)
{
	char host[16];
	unsigned port;

	ASSERT_TRUE(load_parse_address("127.0.0.11:7001", host, &port));
	EXPECT_STREQ(host, "127.0.0.11");
	EXPECT_EQ(port, 7001u);
	for (const char *text :
	     { "10.0.0.1:80", "127.0.1.1:80", "localhost:80", "127.0.0.1",
	       "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:+1",
	       "127.0.0.1:80x", "127.0.0.999:80", "127.0.0.1.example:80", "" })
		EXPECT_FALSE(load_parse_address(text, host, &port)) << text;
}

/* Guards against sending or reporting more or fewer requests than the count. */
TEST(Load, SendsCountOverPersistentConnections)
{
	Server server;
	std::string address = server.address();
	struct load_options options = options_for(address, 200);

	options.caller = "supplier";
	auto result = run(options);
	EXPECT_EQ(result->requests, 200u);
	EXPECT_EQ(result->ends[LOAD_SUCCESS], 200u);
	EXPECT_EQ(result->success.count, 200u);
	EXPECT_EQ(result->bytes, 800u);
	std::lock_guard<std::mutex> lock(server.mutex);
	EXPECT_EQ(server.requests, 200);
	EXPECT_LE(result->connections, 4u);
	EXPECT_EQ(server.callers, std::set<std::string>{ "supplier" });
}

/* Guards against sending more requests than the count, rate or time allow. */
TEST(Load, RateAndTimeRespectLimits)
{
	Server server;
	std::string address = server.address();
	struct load_options options = options_for(address, 50);

	options.rate = 500;
	EXPECT_EQ(run(options)->requests, 50u);
	{
		std::lock_guard<std::mutex> lock(server.mutex);
		EXPECT_EQ(server.requests, 50);
	}
	/* Without a count, only the time limit ends the run. */
	options.count = 0;
	options.seconds = 1;
	options.rate = 20;
	EXPECT_LE(run(options)->requests, 20u);
}

/* Guards against reusing a ticket, retrying a POST or closing connections. */
TEST(Load, UsesOneTicketPerPost)
{
	Server server;
	std::string address = server.address();
	struct load_options options = options_for(address, 40);

	options.method = "POST";
	options.tickets = true;
	options.body_bytes = 1000;
	auto result = run(options);
	EXPECT_EQ(result->ends[LOAD_SUCCESS], 40u);
	EXPECT_LE(result->connections, 4u);
	std::lock_guard<std::mutex> lock(server.mutex);
	EXPECT_EQ(server.tickets_issued, 40);
	EXPECT_EQ(server.keys.size(), 40u);
	for (const auto &key : server.keys)
		EXPECT_EQ(key.second, 1) << key.first;
}

/* Guards against a resend with another ticket, or after the request ran. */
TEST(Load, ResendsWithTheSameTicket)
{
	Server server;
	std::string address = server.address();
	struct load_options options = options_for(address, 20);

	options.method = "POST";
	options.path = "/resend";
	options.tickets = true;
	options.resends = 3;
	auto result = run(options);
	EXPECT_EQ(result->ends[LOAD_SUCCESS], 20u);
	EXPECT_EQ(result->resends, 20u);
	std::lock_guard<std::mutex> lock(server.mutex);
	EXPECT_EQ(server.keys.size(), 20u);
	for (const auto &key : server.keys)
		EXPECT_EQ(key.second, 2) << key.first;
}

/* Guards against counting a failed request as a success or as another end. */
TEST(Load, CountsEachEnd)
{
	const struct {
		const char *path;
		enum load_end end;
	} rows[] = {
		{ "/ran", LOAD_RAN },	      { "/not-run", LOAD_NOT_RUN },
		{ "/unknown", LOAD_UNKNOWN }, { "/none", LOAD_NO_OUTCOME },
		{ "/cut", LOAD_BROKEN },
	};
	Server server;
	std::string address = server.address();

	for (const auto &row : rows) {
		struct load_options options = options_for(address, 10);

		options.path = row.path;
		auto result = run(options);
		EXPECT_EQ(result->ends[row.end], 10u) << row.path;
		EXPECT_EQ(result->success.count, 0u) << row.path;
		EXPECT_EQ(result->all.count, 10u) << row.path;
	}
}

/* Guards against JSON whose share or counts differ from the result. */
TEST(Load, JsonHoldsTheCounts)
{
	auto result = std::make_unique<struct load_result>();
	struct load_options options = options_for("127.0.0.1:1", 1);
	json_t *json;

	result->requests = 4;
	result->ends[LOAD_SUCCESS] = 3;
	result->ends[LOAD_UNKNOWN] = 1;
	json = load_to_json(&options, result.get());
	EXPECT_EQ(json_real_value(json_object_get(json, "success_share")),
		  0.75);
	EXPECT_EQ(json_integer_value(
			  json_object_get(json_object_get(json, "ends"),
					  "unknown")),
		  1);
	json_decref(json);
}

} // namespace
