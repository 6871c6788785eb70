#include <glib.h>
#include <stdarg.h>

#include "base/findings.h"

void findings_init(struct findings *findings)
{
	CDS_INIT_LIST_HEAD(&findings->list);
	findings->nr_errors = 0;
	findings->nr_warnings = 0;
}

void findings_release(struct findings *findings)
{
	struct finding *finding, *next;

	cds_list_for_each_entry_safe (finding, next, &findings->list, node) {
		cds_list_del(&finding->node);
		g_free(finding->file);
		g_free(finding->path);
		g_free(finding->message);
		g_free(finding);
	}
	findings_init(findings);
}

/*
 * Appends a finding. Bytes that are not valid UTF-8, which a message may quote
 * from its input, are replaced, as JSON cannot represent them.
 */
static struct finding *append(struct findings *findings,
			      enum finding_severity severity, const char *file,
			      const char *fmt, va_list args)
{
	struct finding *finding = g_new0(struct finding, 1);
	g_autofree char *message = g_strdup_vprintf(fmt, args);

	finding->severity = severity;
	finding->file = g_strdup(file ? file : "-");
	finding->message = g_utf8_make_valid(message, -1);
	cds_list_add_tail(&finding->node, &findings->list);
	if (severity == FINDING_ERROR)
		findings->nr_errors++;
	else
		findings->nr_warnings++;
	return finding;
}

void findings_add(struct findings *findings, enum finding_severity severity,
		  const char *file, const char *path, const char *fmt, ...)
{
	struct finding *finding;
	va_list args;

	va_start(args, fmt);
	finding = append(findings, severity, file, fmt, args);
	va_end(args);
	finding->path = g_strdup(path);
}

void findings_add_at(struct findings *findings, const char *file, int line,
		     int column, const char *fmt, ...)
{
	struct finding *finding;
	va_list args;

	va_start(args, fmt);
	finding = append(findings, FINDING_ERROR, file, fmt, args);
	va_end(args);
	finding->line = line;
	finding->column = column;
	finding->path = g_strdup("");
}

static const char *severity_name(enum finding_severity severity)
{
	return severity == FINDING_ERROR ? "error" : "warning";
}

void findings_print(const struct findings *findings, FILE *out)
{
	struct finding *finding;

	cds_list_for_each_entry (finding, &findings->list, node) {
		fprintf(out, "%s:", finding->file);
		if (finding->line)
			fprintf(out, "%d:%d:", finding->line, finding->column);
		else
			fprintf(out,
				"%s:", *finding->path ? finding->path : "/");
		fprintf(out, " %s: %s\n", severity_name(finding->severity),
			finding->message);
	}
}

json_t *findings_to_json(const struct findings *findings)
{
	json_t *array = json_array();
	struct finding *finding;

	cds_list_for_each_entry (finding, &findings->list, node)
		json_array_append_new(
			array,
			json_pack("{s:s, s:s, s:i, s:i, s:s, s:s}", "severity",
				  severity_name(finding->severity), "file",
				  finding->file, "line", finding->line,
				  "column", finding->column, "path",
				  finding->path, "message", finding->message));
	return array;
}
