#ifndef SUPPORT_STANDIN_HH
#define SUPPORT_STANDIN_HH

#include <gtest/gtest.h>

#include <jansson.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "support/http.h"
#include "support/process.h"
}

/*
 * C++ wrappers of process.h and http.h for GoogleTest: a running stand-in (test
 * double of a platform service), and one HTTP call.
 */

struct Answer {
	int status; /* 0 if no complete answer arrived */
	std::string body;
	bool refused; /* the connection was refused */
	/* Headers, "" if absent. */
	std::string revision, shed, draining, name;
	std::string outcome, reason, ticket, replayed;

	/* Returns a member of the JSON body; -1 if absent or not a number. */
	json_int_t number(const char *key) const
	{
		json_t *json = json_loads(body.c_str(), 0, nullptr);
		json_t *member = json_object_get(json, key);
		json_int_t value = json_is_number(member) ?
					   json_integer_value(member) :
					   -1;

		json_decref(json);
		return value;
	}
};

static inline Answer call(const std::string &address, const char *method,
			  const std::string &target,
			  const std::string &headers = "",
			  const std::string &body = "", int timeout_s = 0)
{
	struct http_request request = {};
	struct http_response response;
	Answer answer;
	auto header = [&response](const char *name) {
		const char *value = http_header(&response, name);
		return std::string(value ? value : "");
	};

	request.address = address.c_str();
	request.method = method;
	request.target = target.c_str();
	request.headers = headers.c_str();
	request.body = body.empty() ? nullptr : body.data();
	request.body_len = body.size();
	request.timeout_s = timeout_s;
	answer.status = http_send(&request, &response);
	answer.body.assign((const char *)response.body->data,
			   response.body->len);
	answer.revision = header("revision");
	answer.shed = header("backend-shed");
	answer.draining = header("backend-draining");
	answer.name = header("backend-name");
	answer.refused = response.refused;
	answer.outcome = header("godwitspur-outcome");
	answer.reason = header("godwitspur-reason");
	answer.ticket = header("godwitspur-ticket");
	answer.replayed = header("godwitspur-replayed");
	http_response_release(&response);
	return answer;
}

/* Polls until the condition is true; returns false after 30 s. */
static inline bool eventually(const std::function<bool()> &condition)
{
	for (int i = 0; i < 6000; i++) {
		if (condition())
			return true;
		usleep(5000);
	}
	return false;
}

/* A stand-in that runs until the object goes out of scope. */
struct Standin {
	std::string address, control;
	struct process process = {};

	explicit Standin(const char *program,
			 const std::vector<std::string> &options = {})
	{
		char first[ADDRESS_CHARS], second[ADDRESS_CHARS];
		std::vector<const char *> argv;

		free_address(first);
		free_address(second);
		address = first;
		control = second;
		argv = { program, "--listen", first, "--control", second };
		for (const std::string &option : options)
			argv.push_back(option.c_str());
		argv.push_back(nullptr);
		EXPECT_TRUE(process_start(&process, argv.data(), nullptr));
		EXPECT_TRUE(process_wait_listening(&process, second, 30000));
	}

	Standin(const Standin &) = delete;

	/* Stops with SIGTERM, so that a sanitizer in the stand-in can report. */
	~Standin()
	{
		int status = -1;

		if (!process.pid)
			return;
		process_signal(&process, SIGTERM);
		EXPECT_TRUE(process_wait(&process, 30000, &status));
		EXPECT_EQ(status, 0);
		process_kill(&process);
	}

	Answer fault(const std::string &query)
	{
		return call(control, "POST", "/fault?mode=" + query);
	}
};

#endif
