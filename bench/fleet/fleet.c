#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "fleet/fleet.h"
#include "support/http.h"
#include "tree/tree.h"

#define NR_ZONES 3
#define LISTEN_TIMEOUT_MS 20000
#define SOURCE_RATE 2000

void fleet_exit(void)
{
	g_printerr("\n");
	exit(1);
}

void sleep_ms(int64_t ms)
{
	struct timespec ts = { .tv_sec = ms / 1000,
			       .tv_nsec = ms % 1000 * NS_PER_MS };

	nanosleep(&ts, NULL);
}

int fleet_source_interval_ms(int nr)
{
	/* In one second each daemon makes up to 1 + 1000 / interval calls. */
	return 1000 * nr / (SOURCE_RATE - nr) + 1;
}

/*
 * Sends one request to a stand-in or a daemon. Returns the body of a response
 * with status 200, which the caller frees, or NULL.
 */
static char *request(const char *address, const char *method,
		     const char *target, const void *body, size_t len)
{
	struct http_request request = {
		.address = address,
		.method = method,
		.target = target,
		.body = body,
		.body_len = len,
		.timeout_s = 10,
	};
	struct http_response response;
	char *text = NULL;

	if (http_send(&request, &response) == 200)
		text = g_strdup((const char *)response.body->data);
	http_response_release(&response);
	return text;
}

static void put_or_die(const char *address, const char *target,
		       const void *body, size_t len)
{
	g_autofree char *text = request(address, "PUT", target, body, len);

	if (!text)
		fleet_die("PUT %s at %s failed", target, address);
}

static char *program(const struct fleet *fleet, const char *name)
{
	return g_build_filename(fleet->options.build, name, NULL);
}

static void start_standin(struct fleet *fleet, struct process *process,
			  const char *name, char *address, char *control)
{
	g_autofree char *path = program(fleet, name);
	g_autofree char *log =
		g_strdup_printf("%s/standins.log", fleet->directory);
	const char *const argv[] = { path,	  "--listen", address,
				     "--control", control,    NULL };

	free_address(address);
	free_address(control);
	if (!process_start(process, argv, log) ||
	    !process_wait_listening(process, control, LISTEN_TIMEOUT_MS))
		fleet_die("%s does not listen on its control address", path);
}

static void put_hosts(struct fleet *fleet)
{
	GString *text = g_string_new("{\"hosts\":[");
	int nr = fleet->options.nr + fleet->options.nr_absent;

	for (int i = 0; i < nr; i++) {
		g_autofree char *absent =
			g_strdup_printf("127.0.0.250:%d", 1000 + i);

		g_string_append_printf(text,
				       "%s{\"host\":\"h%d\",\"zone\":\"z%d\","
				       "\"region\":\"r0\",\"control\":\"%s\","
				       "\"state\":\"live\"}",
				       i ? "," : "", i, i % NR_ZONES,
				       i < fleet->options.nr
					       ? fleet->daemons[i].addresses[2]
					       : absent);
	}
	g_string_append(text, "]}");
	put_or_die(fleet->hosts_control, "/hosts", text->str, text->len);
	g_string_free(text, TRUE);
}

static void write_settings(struct fleet *fleet, int i)
{
	struct fleet_daemon *daemon = &fleet->daemons[i];
	g_autofree char *interval = NULL;
	g_autofree char *text = NULL;

	if (fleet->options.source_interval_ms)
		interval = g_strdup_printf(",\"source_interval_ms\":%d",
					   fleet->options.source_interval_ms);
	text = g_strdup_printf(
		"{\"host\":\"h%d\",\"zone\":\"z%d\",\"region\":\"r0\","
		"\"caller\":\"%s\",\"traffic\":\"%s\",\"control\":\"%s\","
		"\"operator\":\"%s\",\"source\":\"%s\",\"host_list\":\"%s\","
		"\"distribution\":\"%s\"%s}\n",
		i, i % NR_ZONES, daemon->addresses[0], daemon->addresses[1],
		daemon->addresses[2], daemon->addresses[3],
		fleet->source_address, fleet->hosts_address,
		fleet->options.policy, interval ? interval : "");
	daemon->settings = g_strdup_printf("%s/h%d.json", fleet->directory, i);
	daemon->log = g_strdup_printf("%s/h%d.log", fleet->directory, i);
	if (!g_file_set_contents(daemon->settings, text, -1, NULL))
		fleet_die("cannot write %s", daemon->settings);
}

struct fleet *fleet_new(const struct fleet_options *options)
{
	struct fleet *fleet = g_new0(struct fleet, 1);
	static int number;
	g_autofree char *name =
		g_strdup_printf("bench-fleet-%d-%d", getpid(), number++);

	fleet->options = *options;
	fleet->directory = g_build_filename(options->build, name, NULL);
	if (g_mkdir_with_parents(fleet->directory, 0755))
		fleet_die("cannot create the directory %s", fleet->directory);
	fleet->published =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->daemons = g_new0(struct fleet_daemon, options->nr);
	start_standin(fleet, &fleet->source, "standins/standin-source",
		      fleet->source_address, fleet->source_control);
	start_standin(fleet, &fleet->hosts, "standins/standin-hosts",
		      fleet->hosts_address, fleet->hosts_control);
	for (int i = 0; i < options->nr; i++) {
		for (int j = 0; j < 4; j++)
			free_address(fleet->daemons[i].addresses[j]);
		write_settings(fleet, i);
	}
	put_hosts(fleet);
	return fleet;
}

static void remove_files(struct fleet *fleet)
{
	g_autofree char *log =
		g_strdup_printf("%s/standins.log", fleet->directory);

	for (int i = 0; i < fleet->options.nr; i++) {
		unlink(fleet->daemons[i].settings);
		unlink(fleet->daemons[i].log);
	}
	unlink(log);
	rmdir(fleet->directory);
}

void fleet_free(struct fleet *fleet)
{
	for (int i = 0; i < fleet->options.nr; i++)
		fleet_kill(fleet, i);
	process_kill(&fleet->source);
	process_kill(&fleet->hosts);
	remove_files(fleet);
	for (int i = 0; i < fleet->options.nr; i++) {
		g_free(fleet->daemons[i].settings);
		g_free(fleet->daemons[i].log);
	}
	g_hash_table_unref(fleet->published);
	g_free(fleet->daemons);
	g_free(fleet->directory);
	g_free(fleet);
}

void fleet_start(struct fleet *fleet, int i)
{
	struct fleet_daemon *daemon = &fleet->daemons[i];
	g_autofree char *path = program(fleet, "godwitspur/godwitspur");
	const char *const argv[] = { path, "run", daemon->settings, NULL };

	daemon->version = 0;
	if (!process_start(&daemon->process, argv, daemon->log))
		fleet_die("cannot start %s", path);
}

void fleet_kill(struct fleet *fleet, int i)
{
	process_kill(&fleet->daemons[i].process);
}

static void put_parts(struct fleet *fleet, const struct bundle *bundle)
{
	for (size_t i = 0; i < bundle->nr_parts; i++) {
		char hex[DIGEST_HEX_CHARS + 1];
		g_autofree char *target = NULL;

		digest_to_hex(&bundle->parts[i].digest, hex);
		if (!g_hash_table_add(fleet->published, g_strdup(hex)))
			continue;
		target = g_strdup_printf("/values/part/%s", hex);
		put_or_die(fleet->source_control, target, bundle->parts[i].data,
			   bundle->parts[i].len);
	}
}

int64_t fleet_publish(struct fleet *fleet, const struct generate *generate)
{
	GString *text = generate_tree(generate);
	CLEANUP(tree_freep) struct tree *tree = NULL;
	CLEANUP(bundle_freep) struct bundle *bundle = NULL;
	struct findings findings;
	int64_t start;

	findings_init(&findings);
	tree = tree_parse(text->str, text->len, "generated", &findings);
	if (tree)
		bundle = tree_split(tree, &findings);
	if (!bundle) {
		findings_print(&findings, stderr);
		fleet_die("the generated configuration tree is not valid");
	}
	findings_release(&findings);
	put_parts(fleet, bundle);
	start = clock_wall_ms();
	put_or_die(fleet->source_control, "/values/manifest", bundle->manifest,
		   bundle->manifest_len);
	g_string_free(text, TRUE);
	return start;
}

/* Returns the time ts=SECONDS.MILLISECONDS of a log line in ms, 0 if absent. */
static int64_t line_time_ms(const char *line)
{
	const char *ts = strstr(line, "ts=");
	char *end;
	int64_t seconds;

	if (!ts)
		return 0;
	seconds = strtoll(ts + 3, &end, 10);
	return seconds * 1000 + (*end == '.' ? strtoll(end + 1, NULL, 10) : 0);
}

static void parse_line(struct fleet_daemon *daemon, const char *line,
		       int64_t wanted)
{
	static const char event[] = "event=config_in_force version=";
	const char *found = strstr(line, event);
	int64_t version;

	if (!found)
		return;
	version = strtoll(found + strlen(event), NULL, 10);
	/* Keeps the time of the first version at or above the wanted one. */
	if (daemon->version < wanted || version < wanted)
		daemon->in_force_ms = line_time_ms(line);
	daemon->version = version;
}

static void read_log(struct fleet_daemon *daemon, int64_t wanted)
{
	FILE *file = fopen(daemon->log, "r");
	char line[4096];

	if (!file)
		return;
	fseek(file, daemon->log_read, SEEK_SET);
	while (fgets(line, sizeof(line), file)) {
		size_t len = strlen(line);

		/* An incomplete line is read again by the next poll. */
		if (line[len - 1] != '\n' && len < sizeof(line) - 1)
			break;
		daemon->log_read += (long)len;
		parse_line(daemon, line, wanted);
	}
	fclose(file);
}

int fleet_poll(struct fleet *fleet, int64_t version)
{
	int nr = 0;

	for (int i = 0; i < fleet->options.nr; i++) {
		struct fleet_daemon *daemon = &fleet->daemons[i];

		if (daemon->version < version)
			read_log(daemon, version);
		nr += daemon->version >= version;
	}
	return nr;
}

void fleet_source_calls(struct fleet *fleet, int64_t *total,
			int64_t *last_second)
{
	g_autofree char *text =
		request(fleet->source_control, "GET", "/calls", NULL, 0);
	json_t *json = text ? json_loads(text, 0, NULL) : NULL;

	if (!json)
		fleet_die("GET /calls of the stand-in source failed");
	*total = json_integer_value(json_object_get(json, "total"));
	*last_second = json_integer_value(json_object_get(json, "last_second"));
	json_decref(json);
}

static double metric(const char *text, const char *name)
{
	g_autofree char *line = g_strdup_printf("\n%s ", name);
	const char *found = strstr(text, line);

	return found ? g_ascii_strtod(found + strlen(line), NULL) : 0;
}

bool fleet_read_counters(struct fleet *fleet, int i,
			 struct fleet_counters *counters)
{
	struct fleet_daemon *daemon = &fleet->daemons[i];
	g_autofree char *text =
		request(daemon->addresses[3], "GET", "/metrics", NULL, 0);

	if (!text ||
	    !process_stats_read(&counters->process, daemon->process.pid))
		return false;
	counters->sent =
		metric(text,
		       "godwitspur_control_bytes_total{direction=\"sent\"}");
	counters->received = metric(
		text, "godwitspur_control_bytes_total{direction=\"received\"}");
	counters->records =
		metric(text,
		       "godwitspur_control_records_total{direction=\"sent\"}") +
		metric(text, "godwitspur_control_records_total{direction="
			     "\"received\"}");
	counters->source = metric(text, "godwitspur_source_bytes_total");
	counters->hosts = metric(text, "godwitspur_host_list_bytes_total");
	counters->source_calls = metric(text, "godwitspur_source_calls_total");
	return true;
}
