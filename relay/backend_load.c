#include "base/clock.h"
#include "platform/platform.h"
#include "relay/backend_load.h"

/*
 * Age limit of load reports. A server without requests is probed every 5 s, and
 * two of the answers may be lost.
 */
#define REPORT_LIFE_NS (15 * NS_PER_SEC)

void backend_load_add_metrics(struct backend_load *load,
			      struct metrics *metrics)
{
	load->nr_reports.name = "godwitspur_load_reports_total";
	load->nr_reports.help = "Load reports of the backend server.";
	load->nr_malformed.name = "godwitspur_load_reports_malformed_total";
	load->nr_malformed.help = "Load reports that were ignored.";
	metrics_add_counter(metrics, &load->nr_reports);
	metrics_add_counter(metrics, &load->nr_malformed);
}

void backend_load_reset(struct backend_load *load)
{
	load->server = (struct cost_server){ 0 };
}

void backend_load_note(struct backend_load *load,
		       const struct http_message *response, int64_t now)
{
	const char *value =
		response ? http_message_value(response, HTTP_ROLE_LOAD) : NULL;
	struct platform_load report;

	if (!value)
		return;
	if (!platform_decode_load(value, &report)) {
		counter_add(&load->nr_malformed, 1);
		return;
	}
	counter_add(&load->nr_reports, 1);
	cost_server_report(&load->server, report.pace_percent, 0, now);
}

static bool is_reporting(const struct backend_load *load, int64_t now)
{
	return cost_server_is_reporting(&load->server, REPORT_LIFE_NS, now);
}

static int get_pace_percent(const struct backend_load *load, int64_t now)
{
	if (!is_reporting(load, now))
		return 0;
	return (int)(100 * cost_server_pace(&load->server, now) + 0.5);
}

void backend_load_ran(struct backend_load *load, const struct relay_job *job,
		      int64_t run_ns, int64_t now)
{
	if (job->request.cost_us > 0)
		cost_server_ran(&load->server, run_ns,
				job->request.cost_us * NS_PER_US,
				get_pace_percent(load, now), now);
}

void backend_load_track(struct backend_load *load, struct relay_job *job,
			int64_t usual_ns)
{
	job->work_ns = job->request.cost_us > 0
			       ? job->request.cost_us * NS_PER_US
			       : usual_ns;
	load->work_ns += job->work_ns;
}

void backend_load_untrack(struct backend_load *load, struct relay_job *job)
{
	load->work_ns -= job->work_ns;
	job->work_ns = 0;
}

int64_t backend_load_expect(const struct backend_load *load,
			    const struct relay_job *job, int64_t now)
{
	if (job->request.cost_us <= 0 || !is_reporting(load, now))
		return 0;
	return (int64_t)((double)job->request.cost_us * NS_PER_US *
			 cost_server_factor(&load->server, now));
}

void backend_load_fill(const struct backend_load *load, int slots,
		       struct relay_answer *answer, int64_t now)
{
	answer->pace_percent = get_pace_percent(load, now);
	answer->backlog_us = load->work_ns / MAX(slots, 1) / NS_PER_US;
}

int64_t backend_load_age_ms(const struct backend_load *load, int64_t now)
{
	return load->server.reported_at
		       ? (now - load->server.reported_at) / NS_PER_MS
		       : -1;
}

json_t *backend_load_dump(const struct backend_load *load, int64_t now)
{
	return json_pack("{s:i, s:I, s:f, s:I, s:I, s:I}", "pace_percent",
			 get_pace_percent(load, now), "report_age_ms",
			 (json_int_t)backend_load_age_ms(load, now), "factor",
			 cost_server_factor(&load->server, now), "work_us",
			 (json_int_t)(load->work_ns / NS_PER_US), "reports",
			 (json_int_t)counter_get(&load->nr_reports),
			 "malformed",
			 (json_int_t)counter_get(&load->nr_malformed));
}
