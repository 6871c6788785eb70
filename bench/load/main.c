#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "load/load.h"

/* Exit statuses. */
enum {
	EXIT_OK = 0,
	EXIT_NONE = 1, /* no request succeeded, or the run failed */
	EXIT_USAGE = 2
};

#define COUNT_MAX 1000000000

struct arguments {
	struct arg_str *address;
	struct arg_str *path;
	struct arg_str *method;
	struct arg_int *concurrency;
	struct arg_dbl *rate;
	struct arg_int *seconds;
	struct arg_int *count;
	struct arg_int *body;
	struct arg_int *timeout;
	struct arg_str *caller;
	struct arg_lit *tickets;
	struct arg_int *resends;
	struct arg_str *json;
	struct arg_lit *help;
	struct arg_end *end;
};

static void arguments_init(struct arguments *args)
{
	args->address = arg_strn("a", "address", "127.0.0.X:PORT", 0,
				 LOAD_ADDRESSES_MAX, "daemon, may be repeated");
	args->path = arg_str0("p", "path", "PATH", "percent-encoded path (/)");
	args->method = arg_str0("m", "method", "NAME", "method (GET)");
	args->concurrency =
		arg_int0("c", "concurrency", "N", "connections, 1..256 (10)");
	args->rate =
		arg_dbl0("r", "rate", "N", "requests/s (default: closed loop)");
	args->seconds =
		arg_int0("t", "seconds", "N", "longest time, 1..3600 (10)");
	args->count =
		arg_int0("n", "count", "N", "number of requests (no limit)");
	args->body =
		arg_int0("b", "body", "BYTES", "size of the request body (0)");
	args->timeout = arg_int0("T", "timeout", "SECONDS",
				 "longest wait for a response (10)");
	args->caller =
		arg_str0("C", "caller", "NAME", "value of Godwitspur-Caller");
	args->tickets = arg_lit0("k", "tickets", "a ticket for each request");
	args->resends = arg_int0("R", "resends", "N",
				 "resends with the same ticket (0)");
	args->json = arg_str0("j", "json", "FILE", "write JSON, - is stdout");
	args->help = arg_lit0("h", "help", "show this help");
	args->end = arg_end(16);
	args->path->sval[0] = "/";
	args->method->sval[0] = "GET";
	args->concurrency->ival[0] = 10;
	args->rate->dval[0] = 0;
	args->seconds->ival[0] = 10;
	args->count->ival[0] = 0;
	args->body->ival[0] = 0;
	args->timeout->ival[0] = 10;
	args->caller->sval[0] = NULL;
	args->resends->ival[0] = 0;
}

/* Copies an integer option. Prints an error if it is not in low..high. */
static bool copy_in_range(const struct arg_int *option, int low, int high,
			  int *value)
{
	*value = option->ival[0];
	if (*value >= low && *value <= high)
		return true;
	fprintf(stderr, "gw-load: --%s: %d is not in %d..%d\n",
		option->hdr.longopts, *value, low, high);
	return false;
}

static bool to_options(const struct arguments *args,
		       struct load_options *options)
{
	int count, body;

	memset(options, 0, sizeof(*options));
	if (!copy_in_range(args->concurrency, 1, LOAD_CONCURRENCY_MAX,
			   &options->concurrency) ||
	    !copy_in_range(args->seconds, 1, LOAD_SECONDS_MAX,
			   &options->seconds) ||
	    !copy_in_range(args->timeout, 1, LOAD_SECONDS_MAX,
			   &options->timeout) ||
	    !copy_in_range(args->count, 0, COUNT_MAX, &count) ||
	    !copy_in_range(args->body, 0, LOAD_BODY_MAX, &body) ||
	    !copy_in_range(args->resends, 0, 100, &options->resends))
		return false;
	options->count = count;
	options->body_bytes = (size_t)body;
	options->rate = args->rate->dval[0];
	options->method = args->method->sval[0];
	options->path = args->path->sval[0];
	options->caller = args->caller->sval[0];
	options->tickets = args->tickets->count > 0;
	options->nr_addresses = args->address->count;
	for (int i = 0; i < options->nr_addresses; i++) {
		char host[16];
		unsigned port;

		options->addresses[i] = args->address->sval[i];
		if (!load_parse_address(options->addresses[i], host, &port)) {
			fprintf(stderr,
				"gw-load: --address: %s is not "
				"127.0.0.X:PORT\n",
				options->addresses[i]);
			return false;
		}
	}
	if (options->rate < 0 || options->path[0] != '/') {
		fprintf(stderr, "gw-load: --rate is below 0, or --path does "
				"not begin with /\n");
		return false;
	}
	if (!options->nr_addresses)
		fprintf(stderr, "gw-load: --address is missing, see --help\n");
	return options->nr_addresses > 0;
}

static bool write_json(const struct load_options *options,
		       const struct load_result *result, const char *name)
{
	json_t *json = load_to_json(options, result);
	size_t flags = JSON_COMPACT | JSON_REAL_PRECISION(9);
	int failed;

	if (!strcmp(name, "-")) {
		failed = json_dumpf(json, stdout, flags);
		putchar('\n');
	} else {
		failed = json_dump_file(json, name, flags);
		if (failed)
			perror(name);
	}
	json_decref(json);
	return !failed;
}

int main(int argc, char **argv)
{
	/* Static because its quantiles take 64 KiB. */
	static struct load_result result;
	struct arguments args;
	struct load_options options;
	int status = EXIT_USAGE;

	arguments_init(&args);
	if (arg_parse(argc, argv, (void **)&args)) {
		arg_print_errors(stderr, args.end, "gw-load");
	} else if (args.help->count) {
		printf("usage: gw-load");
		arg_print_syntax(stdout, (void **)&args, "\n");
		arg_print_glossary(stdout, (void **)&args, "  %-32s %s\n");
		status = EXIT_OK;
	} else if (to_options(&args, &options)) {
		status = EXIT_NONE;
		if (load_run(&options, &result)) {
			load_print(&result, stdout);
			if (result.ends[LOAD_SUCCESS])
				status = EXIT_OK;
			if (args.json->count &&
			    !write_json(&options, &result, args.json->sval[0]))
				status = EXIT_NONE;
		}
	}
	arg_freetable((void **)&args, sizeof(args) / sizeof(void *));
	return status;
}
