#include "mesh.h"

#include <fstream>

extern "C" {
#include "tree/tree.h"
}

namespace
{

std::string free_text()
{
	char address[ADDRESS_CHARS];

	free_address(address);
	return address;
}

std::string hex_digest(const std::string &bytes)
{
	char hex[DIGEST_HEX_CHARS + 1];
	struct digest digest;

	digest_compute(&digest, bytes.data(), bytes.size());
	digest_to_hex(&digest, hex);
	return hex;
}

std::string dump(const json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	std::string result = text ? text : "";

	free(text);
	return result;
}

std::string quoted(const char *key, const std::string &value)
{
	return std::string("\"") + key + "\": \"" + value + "\"";
}

} // namespace

/* Rendering of configuration versions. */

std::string Rendered::digest() const
{
	return hex_digest(manifest);
}

void Rendered::replace(const std::string &part, const std::string &from,
		       const std::string &to)
{
	json_t *json = json_loads(manifest.c_str(), 0, nullptr);
	json_t *entry;
	size_t i;

	for (auto &[name, text] : parts) {
		size_t at = text.find(from);

		if (name != part)
			continue;
		ASSERT_NE(at, std::string::npos) << text;
		text.replace(at, from.size(), to);
		json_array_foreach (json_object_get(json, "parts"), i, entry) {
			if (part !=
			    json_string_value(json_object_get(entry, "name")))
				continue;
			json_object_set_new(entry, "digest",
					    json_string(
						    hex_digest(text).c_str()));
			json_object_set_new(entry, "bytes",
					    json_integer(
						    (json_int_t)text.size()));
		}
	}
	manifest = dump(json);
	json_decref(json);
}

std::string Mesh::tree_text(int version) const
{
	std::string zones, targets;

	for (const char *zone : { "z0", "z1", "z2" })
		zones += std::string(zones.empty() ? "" : ", ") + "\"" + zone +
			 "\": {\"region\": \"be\", \"in_service\": " +
			 (plan.out.count(zone) ? "false}" : "true}");
	for (const Host &host : hosts)
		if (!host.backend.empty())
			targets += std::string(targets.empty() ? "" : ", ") +
				   "{" + quoted("host", host.name) + ", " +
				   quoted("zone", host.zone) + ", " +
				   quoted("traffic", host.traffic) + "}";
	return "{\"version\": " + std::to_string(version) +
	       ", \"defaults\": {" + plan.defaults + "}, \"zones\": {" + zones +
	       "}, \"services\": {\"portal\": {\"targets\": [" + targets +
	       R"(], "routes": [
		{"name": "orders", "prefix": "/portal/orders",
		 "methods": ["POST"], "at_most_once": true},
		{"name": "notes", "prefix": "/portal/notes",
		 "methods": ["POST"]},
		{"name": "stock", "prefix": "/portal/stock",
		 "methods": ["GET"]})" +
	       plan.routes + "]}}}";
}

Rendered Mesh::render(int version)
{
	std::string text = tree_text(version);
	struct findings findings;
	Rendered rendered;

	findings_init(&findings);
	struct tree *tree =
		tree_parse(text.data(), text.size(), "tree", &findings);
	struct bundle *bundle = tree ? tree_split(tree, &findings) : nullptr;
	findings_print(&findings, stderr);
	findings_release(&findings);
	EXPECT_TRUE(bundle) << text;
	if (bundle) {
		for (size_t i = 0; i < bundle->nr_parts; i++)
			rendered.parts.emplace_back(
				bundle->parts[i].name,
				std::string(bundle->parts[i].data,
					    bundle->parts[i].len));
		rendered.manifest.assign(bundle->manifest,
					 bundle->manifest_len);
		bundle_free(bundle);
	}
	if (tree)
		tree_free(tree);
	return rendered;
}

void Mesh::put(const Rendered &rendered)
{
	for (const auto &[name, text] : rendered.parts)
		EXPECT_EQ(call(source.control, "PUT",
			       "/values/part/" + hex_digest(text), "", text)
				  .status,
			  200)
			<< name;
	EXPECT_EQ(call(source.control, "PUT", "/values/manifest", "",
		       rendered.manifest)
			  .status,
		  200);
}

void Mesh::publish(int version)
{
	plan.version = version;
	put(render(version));
}

/* Processes. */

Mesh::Mesh(const MeshOptions &options)
    : options(options), source(STANDIN_SOURCE), host_list(STANDIN_HOSTS)
{
	char *made = g_dir_make_tmp("gw-process-XXXXXX", nullptr);

	directory = made;
	g_free(made);
	plan.defaults = options.defaults;
	hosts.resize((size_t)options.hosts);
	for (int i = 0; i < options.hosts; i++) {
		Host &host = hosts[(size_t)i];

		host.name = "h" + std::to_string(i);
		host.zone = "z" + std::to_string(i % 3);
		host.caller = free_text();
		host.traffic = free_text();
		host.control = free_text();
		host.operators = free_text();
		if (i < options.targets) {
			host.backend = free_text();
			host.backend_control = free_text();
		}
		host.settings = directory + "/" + host.name + ".json";
		host.log = directory + "/" + host.name + ".log";
		host.executions = directory + "/" + host.name + ".runs";
		write_settings(host);
	}
	list_hosts();
	publish(1);
	for (int i = 0; i < options.hosts; i++)
		start_backend(i);
	for (int i = 0; i < options.hosts; i++)
		start_daemon(i);
	wait_for(1);
}

Mesh::~Mesh()
{
	for (Host &host : hosts) {
		/* A daemon that exited on its own has crashed. */
		if (host.daemon.pid && process_wait(&host.daemon, 0, nullptr))
			ADD_FAILURE() << host.name << " exited on its own";
		process_kill(&host.daemon);
		process_kill(&host.server);
	}
	if (testing::Test::HasFailure()) {
		std::printf("logs are in %s\n", directory.c_str());
		return;
	}
	for (const Host &host : hosts)
		for (const std::string &file :
		     { host.settings, host.log, host.executions })
			unlink(file.c_str());
	rmdir(directory.c_str());
}

void Mesh::write_settings(const Host &host) const
{
	std::ofstream file(host.settings);

	file << "{" << quoted("host", host.name) << ", "
	     << quoted("zone", host.zone) << ", " << quoted("region", "be")
	     << ", " << quoted("caller", host.caller) << ", "
	     << quoted("traffic", host.traffic) << ", "
	     << quoted("control", host.control) << ", "
	     << quoted("operator", host.operators) << ", ";
	if (!host.backend.empty())
		file << quoted("backend", host.backend) << ", ";
	file << quoted("source", source.address) << ", "
	     << quoted("host_list", host_list.address)
	     << ", \"source_interval_ms\": " << options.source_interval_ms
	     << "}\n";
}

void Mesh::list_hosts()
{
	std::string list;

	for (const Host &host : hosts)
		list += (list.empty() ? "{" : ", {") +
			quoted("host", host.name) + ", " +
			quoted("zone", host.zone) + ", " +
			quoted("region", "be") + ", " +
			quoted("control", host.control) + ", " +
			quoted("state", "live") + "}";
	EXPECT_EQ(call(host_list.control, "PUT", "/hosts", "",
		       "{\"hosts\": [" + list + "]}")
			  .status,
		  200);
}

void Mesh::start_daemon(int i)
{
	Host &host = hosts[(size_t)i];
	const char *argv[] = { GODWITSPUR, "run", host.settings.c_str(),
			       nullptr };

	ASSERT_TRUE(process_start(&host.daemon, argv, host.log.c_str()));
	ASSERT_TRUE(process_wait_listening(&host.daemon, host.operators.c_str(),
					   30000));
}

void Mesh::start_backend(int i)
{
	Host &host = hosts[(size_t)i];
	std::vector<const char *> argv = { STANDIN_BACKEND,
					   "--listen",
					   host.backend.c_str(),
					   "--control",
					   host.backend_control.c_str(),
					   "--name",
					   host.name.c_str(),
					   "--log",
					   host.executions.c_str() };

	if (host.backend.empty())
		return;
	for (const std::string &option : options.backend)
		argv.push_back(option.c_str());
	argv.push_back(nullptr);
	ASSERT_TRUE(process_start(&host.server, argv.data(), nullptr));
	ASSERT_TRUE(process_wait_listening(&host.server, host.backend.c_str(),
					   30000));
}

void Mesh::kill_daemon(int host)
{
	process_kill(&hosts[(size_t)host].daemon);
}

void Mesh::kill_backend(int host)
{
	process_kill(&hosts[(size_t)host].server);
}

void Mesh::signal_daemon(int host, int signal)
{
	process_signal(&hosts[(size_t)host].daemon, signal);
}

bool Mesh::has_exited(int host)
{
	struct process *server = &hosts[(size_t)host].server;

	return !server->pid || process_wait(server, 0, nullptr);
}

/* Status of daemons. */

Status Mesh::status(int host) const
{
	Answer answer = call(hosts[(size_t)host].operators, "GET", "/status",
			     "", "", 1);
	json_t *json = json_loads(answer.body.c_str(), 0, nullptr);
	json_t *version = json_object_get(json, "version");
	const char *digest =
		json_string_value(json_object_get(version, "digest"));
	Status status;

	if (answer.status == 200 && digest) {
		status.answered = true;
		status.serving = json_is_true(json_object_get(json, "serving"));
		status.conflict =
			json_is_true(json_object_get(json, "conflict"));
		status.version.number =
			json_integer_value(json_object_get(version, "number"));
		status.version.digest = digest;
		status.refused = dump(json_object_get(json, "refused"));
	}
	json_decref(json);
	return status;
}

bool Mesh::all_serve_version(int version) const
{
	for (size_t i = 0; i < hosts.size(); i++) {
		if (!hosts[i].daemon.pid)
			continue;
		Status current = status((int)i);

		if (!current.serving || current.version.number != version)
			return false;
	}
	return true;
}

void Mesh::wait_for(int version) const
{
	EXPECT_TRUE(eventually([&] { return all_serve_version(version); }))
		<< "version " << version << " is not served by all daemons";
}

int Mesh::limit(int host) const
{
	Answer answer =
		call(hosts[(size_t)host].operators, "GET", "/dump", "", "", 5);
	json_t *json = json_loads(answer.body.c_str(), 0, nullptr);
	json_t *admit =
		json_object_get(json_object_get(json, "target"), "admit");
	json_t *limit = json_object_get(admit, "limit");
	int result = limit ? (int)json_integer_value(limit) : -1;

	json_decref(json);
	return result;
}

/* Requests. */

Answer Mesh::send(int host, const char *method, const std::string &target,
		  const std::string &headers, const std::string &body) const
{
	return call(hosts[(size_t)host].caller, method, target, headers, body,
		    30);
}

Answer Mesh::order(int host, const std::string &ticket) const
{
	return send(host, "POST", "/portal/orders",
		    "Idempotency-Key: " + ticket + "\r\n", "bales=3");
}

std::string Mesh::ticket(int through, int *host) const
{
	std::string ticket;

	EXPECT_TRUE(eventually([&] {
		ticket = send(through, "POST",
			      "/.godwitspur/tickets?path=/portal/orders")
				 .ticket;
		return !ticket.empty();
	}));
	if (host)
		*host = std::atoi(ticket.c_str() + strlen("g1.h"));
	return ticket;
}

void Mesh::wait_until_served(int through) const
{
	EXPECT_TRUE(eventually([&] {
		return send(through, "GET", "/portal/stock").status == 200;
	}));
}

int Mesh::runs(int host, const std::string &text) const
{
	std::ifstream file(hosts[(size_t)host].executions);
	std::string line;
	int count = 0;

	/* Each execution has two lines: one at its start, one at its end. */
	while (std::getline(file, line))
		if (line.find("\"finished\":null") != std::string::npos &&
		    line.find(text) != std::string::npos)
			count++;
	return count;
}

int Mesh::runs(const std::string &text) const
{
	int count = 0;

	for (size_t i = 0; i < hosts.size(); i++)
		count += runs((int)i, text);
	return count;
}

/* Monitoring of versions. */

VersionWatch::VersionWatch(const Mesh &mesh) : mesh(mesh)
{
	for (size_t i = 0; i < mesh.hosts.size(); i++)
		threads.emplace_back([this, i] { watch((int)i); });
}

VersionWatch::~VersionWatch()
{
	stop = true;
	for (std::thread &thread : threads)
		thread.join();
	EXPECT_EQ(violation, "");
}

void VersionWatch::watch(int host)
{
	Version newest;

	while (!stop) {
		Status status = mesh.status(host);

		usleep(2000);
		if (!status.serving)
			continue;
		if (status.version < newest) {
			std::lock_guard<std::mutex> guard(mutex);

			violation = mesh.hosts[(size_t)host].name +
				    " reverted from version " +
				    std::to_string(newest.number) + " " +
				    newest.digest + " to " +
				    std::to_string(status.version.number) +
				    " " + status.version.digest;
		}
		newest = status.version;
	}
}

/* Load. */

Load::Load(const Mesh &mesh, const char *method, const std::string &path,
	   const std::vector<int> &through)
    : mesh(mesh), method(method), path(path)
{
	for (int host : through)
		threads.emplace_back(
			[this, host, id = threads.size()] { run(host, id); });
}

Load::~Load()
{
	finish();
}

void Load::finish()
{
	stop = true;
	for (std::thread &thread : threads)
		thread.join();
	threads.clear();
}

void Load::run(int host, size_t id)
{
	for (long n = 0; !stop; n++) {
		std::string target = path + "?thread=" + std::to_string(id) +
				     "&n=" + std::to_string(n);
		Answer answer = mesh.send(host, method.c_str(), target);
		std::lock_guard<std::mutex> guard(mutex);

		if (answer.status != 200) {
			if (!failed++)
				first_failure = std::to_string(answer.status) +
						" " + answer.body;
			continue;
		}
		ok++;
		if (answer.body.find("\"path\":\"" + target + "\"") ==
		    std::string::npos)
			mismatch = target + " got " + answer.body;
	}
}
