#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/process_stats.h"

static int64_t status_value(const char *text, const char *key)
{
	const char *line = strstr(text, key);

	return line ? strtoll(line + strlen(key), NULL, 10) : 0;
}

/* Uses schedstat, in ns, because /proc/PID/stat counts ticks of 10 ms. */
static void add_thread(struct process_stats *stats, const char *task)
{
	g_autofree char *schedstat = g_strconcat(task, "/schedstat", NULL);
	g_autofree char *comm = g_strconcat(task, "/comm", NULL);
	g_autofree char *text = NULL, *name = NULL;
	int64_t ns;

	/* A thread may end between the listing and the reading. */
	if (!g_file_get_contents(schedstat, &text, NULL, NULL) ||
	    !g_file_get_contents(comm, &name, NULL, NULL))
		return;
	ns = strtoll(text, NULL, 10);
	stats->cpu_ns += ns;
	if (!strcmp(name, "control\n") || !strcmp(name, "fetch\n"))
		stats->control_ns += ns;
}

bool process_stats_read(struct process_stats *stats, pid_t pid)
{
	g_autofree char *status = g_strdup_printf("/proc/%d/status", (int)pid);
	g_autofree char *tasks = g_strdup_printf("/proc/%d/task", (int)pid);
	g_autofree char *text = NULL;
	GDir *dir = g_dir_open(tasks, 0, NULL);
	const char *name;

	memset(stats, 0, sizeof(*stats));
	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *task = g_build_filename(tasks, name, NULL);

		add_thread(stats, task);
	}
	if (dir)
		g_dir_close(dir);
	if (!dir || !g_file_get_contents(status, &text, NULL, NULL))
		return false;
	stats->rss_kb = status_value(text, "VmRSS:");
	stats->peak_rss_kb = status_value(text, "VmHWM:");
	return true;
}

double load_average(void)
{
	double load[1] = { 0 };

	return getloadavg(load, 1) == 1 ? load[0] : 0;
}
