#include "helpers.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

extern "C" {
#include "tree/policy.h"
}

const char *const SMALL_TREE = R"({
  "version": 7,
  "defaults": { "slots": 12, "deadline_ms": 1000 },
  "deployments": { "d1": { "override": { "retry_max": 1 } }, "d2": {} },
  "zones": {
    "z1": { "region": "r1", "deployment": "d1",
            "override": { "cold_slots": 3, "deadline_ms": 1100 } },
    "z2": { "region": "r2", "deployment": "d2", "in_service": false }
  },
  "services": {
    "docs": {
      "targets": [ { "host": "h3", "zone": "z2", "traffic": "[::1]:7002" } ],
      "routes": [ { "name": "files", "prefix": "/docs",
                    "methods": ["GET", "HEAD"] } ]
    },
    "portal": {
      "deployment": "d1",
      "override": { "queue_max": 5 },
      "targets": [
        { "host": "h1", "zone": "z1", "traffic": "127.0.0.1:7002" },
        { "host": "h2", "zone": "z1", "traffic": "127.0.0.2:7002",
          "in_service": false } ],
      "routes": [
        { "name": "orders", "prefix": "/portal/orders", "methods": ["POST"],
          "at_most_once": true, "override": { "priority": "order" } },
        { "name": "status", "prefix": "/portal/orders", "methods": ["GET"] },
        { "name": "pages", "prefix": "/portal", "methods": ["GET"] } ]
    }
  }
})";

static std::vector<std::string> take_findings(struct findings *findings)
{
	std::vector<std::string> result;
	struct finding *finding;

	cds_list_for_each_entry (finding, &findings->list, node) {
		std::string place = finding->path;

		if (finding->line)
			place = std::to_string(finding->line) + ":" +
				std::to_string(finding->column);
		result.push_back(place + ": " + finding->message);
	}
	findings_release(findings);
	return result;
}

Result<Tree> parse(const std::string &text)
{
	struct findings findings;

	findings_init(&findings);
	Tree tree(tree_parse(text.data(), text.size(), "t.json", &findings));
	return { std::move(tree), take_findings(&findings) };
}

Result<Manifest> parse_manifest(const std::string &text)
{
	struct findings findings;

	findings_init(&findings);
	Manifest manifest(manifest_parse(text.data(), text.size(), &findings));
	return { std::move(manifest), take_findings(&findings) };
}

static Result<Tree> assemble(const struct manifest *manifest,
			     const std::vector<const char *> &data)
{
	struct findings findings;

	findings_init(&findings);
	Tree tree(tree_assemble(manifest, data.data(), &findings));
	return { std::move(tree), take_findings(&findings) };
}

Result<Tree> round_trip(const struct tree *tree)
{
	struct findings findings;

	findings_init(&findings);
	Bundle bundle(tree_split(tree, &findings));
	auto faults = take_findings(&findings);
	if (!bundle)
		return { nullptr, faults };
	auto manifest = parse_manifest(
		std::string(bundle->manifest, bundle->manifest_len));
	if (!manifest.value ||
	    version_id_compare(&manifest.value->id, &bundle->id) != 0)
		return { nullptr, manifest.findings };
	std::vector<const char *> data;
	for (size_t i = 0; i < bundle->nr_parts; i++)
		data.push_back(bundle->parts[i].data);
	return assemble(manifest.value.get(), data);
}

Result<Tree> assemble_document(const std::string &text)
{
	Json document(json_loadb(text.data(), text.size(), 0, nullptr));
	Json services(json_incref(json_object_get(document.get(), "services")));
	std::vector<std::string> names{ "root" }, texts;
	std::vector<struct manifest_entry> entries;
	std::vector<const char *> data;
	struct manifest manifest = {};
	const char *key;
	json_t *value;

	auto dump = [](json_t *json) {
		char *raw = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS |
						     JSON_ENCODE_ANY);
		std::string result(raw);

		free(raw);
		return result;
	};
	manifest.id.number =
		json_integer_value(json_object_get(document.get(), "version"));
	json_object_del(document.get(), "version");
	json_object_del(document.get(), "services");
	texts.push_back(dump(document.get()));
	json_object_foreach (services.get(), key, value) {
		names.push_back(std::string("service/") + key);
		texts.push_back(dump(value));
	}
	for (size_t i = 0; i < names.size(); i++) {
		entries.push_back({ names[i].data(), {}, texts[i].size() });
		data.push_back(texts[i].data());
	}
	manifest.entries = entries.data();
	manifest.nr_entries = entries.size();
	return assemble(&manifest, data);
}

Table new_table(const struct tree *tree, const char *zone)
{
	struct version_id id = {};

	id.number = tree_version(tree);
	return Table(table_new(tree, &id, zone));
}

static void describe_policy(std::ostream &out, const struct policy &policy)
{
	for (const struct policy_key &key : policy_keys)
		out << policy_get(&policy, &key) << ' ';
	out << '\n';
}

std::string describe(const struct table *table)
{
	std::ostringstream out;

	out << table->id.number << '\n';
	for (size_t i = 0; i < table->nr_services; i++) {
		const struct table_service &s = table->services[i];

		out << "service " << s.name << ' '
		    << (s.deployment ? s.deployment : "-") << ' ';
		describe_policy(out, s.policy);
		for (size_t j = 0; j < s.nr_targets; j++) {
			const struct table_target &t = s.targets[j];

			out << "target " << t.host << ' ' << t.zone << ' '
			    << t.region << ' ' << t.traffic << ' '
			    << t.in_service << (t.service == &s) << ' ';
			describe_policy(out, t.policy);
		}
		for (size_t j = 0; j < s.nr_routes; j++) {
			const struct table_route &r = s.routes[j];

			out << "route " << r.name << ' ' << r.prefix << ' '
			    << r.methods << ' ' << r.at_most_once
			    << (r.service == &s) << ' ';
			describe_policy(out, r.policy);
		}
	}
	return out.str();
}

std::string replaced(std::string text, const std::string &from,
		     const std::string &to)
{
	size_t at = text.find(from);

	if (at == std::string::npos)
		throw std::invalid_argument("text to be replaced not found: " +
					    from);
	return text.replace(at, from.size(), to);
}

std::string read_file(const std::string &path)
{
	std::ifstream in(path);
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

std::vector<std::vector<std::string>> read_cases(const std::string &name)
{
	std::vector<std::vector<std::string>> cases;
	std::ifstream in(std::string(CASES_DIR "/") + name);
	const std::string bar = " | ";

	for (std::string line; std::getline(in, line);) {
		if (line[0] == '#')
			continue;
		for (size_t at; (at = line.find("\\n")) != std::string::npos;)
			line.replace(at, 2, "\n");
		cases.emplace_back();
		for (size_t at; (at = line.find(bar)) != std::string::npos;) {
			cases.back().push_back(line.substr(0, at));
			line.erase(0, at + bar.size());
		}
		cases.back().push_back(line);
	}
	if (cases.empty())
		throw std::invalid_argument("no test cases in " + name);
	return cases;
}
