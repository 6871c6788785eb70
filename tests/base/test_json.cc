#include <gtest/gtest.h>

#include <pthread.h>
#include <string>

extern "C" {
#include "base/json.h"
}

namespace
{

/* The stack of the smallest thread on which texts are parsed. */
const size_t STACK_BYTES = 256 * 1024;

/* An object within an object, and so on, with this many levels. */
std::string nested(int levels)
{
	std::string text;

	for (int i = 0; i < levels; i++)
		text += "{\"a\":";
	text += "1";
	return text + std::string((size_t)levels, '}');
}

struct attempt {
	std::string text;
	json_t *json;
	json_error_t error;
};

void *parse(void *arg)
{
	struct attempt *attempt = (struct attempt *)arg;

	attempt->json = json_parse(attempt->text.data(), attempt->text.size(),
				   0, &attempt->error);
	json_decref(attempt->json);
	return nullptr;
}

/* Parses and frees a text on a thread; returns whether it was accepted. */
bool is_accepted(struct attempt *attempt)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	EXPECT_EQ(pthread_create(&thread, &attr, parse, attempt), 0);
	pthread_join(thread, nullptr);
	pthread_attr_destroy(&attr);
	return attempt->json;
}

/*
 * Guards against a text whose nesting takes more stack than a thread has, which
 * ends the process.
 */
TEST(Json, LevelsOfATextAreBounded)
{
	json_error_t attempt_error;

	for (int levels : { 1, JSON_DEPTH_MAX }) {
		struct attempt attempt = { nested(levels), nullptr, {} };

		EXPECT_TRUE(is_accepted(&attempt)) << levels;
	}
	for (int levels : { JSON_DEPTH_MAX + 1, 2040, 100000 }) {
		struct attempt attempt = { "\n " + nested(levels),
					   nullptr,
					   {} };

		EXPECT_FALSE(is_accepted(&attempt)) << levels;
		EXPECT_STREQ(attempt.error.text,
			     "more than 64 levels of objects and arrays");
		EXPECT_EQ(attempt.error.line, 2);
		EXPECT_EQ(attempt.error.column, 2 + 5 * JSON_DEPTH_MAX);
	}
	EXPECT_EQ(json_parse(nullptr, 0, 0, &attempt_error), nullptr);
	struct attempt open = { std::string(100000, '['), nullptr, {} };

	EXPECT_FALSE(is_accepted(&open));
}

/* Guards against brackets in strings being counted as levels. */
TEST(Json, BracketsInStringsOpenNoLevel)
{
	const std::string brackets(1000, '[');

	for (const std::string &text :
	     { "[\"" + brackets + "\"]", "[\"\\\"" + brackets + "\"]",
	       "[\"\\\\\",\"" + brackets + "\"]" }) {
		struct attempt attempt = { text, nullptr, {} };

		EXPECT_TRUE(is_accepted(&attempt)) << attempt.error.text;
	}
	struct attempt cut = { "\"\\", nullptr, {} };

	EXPECT_FALSE(is_accepted(&cut));
}

} // namespace
