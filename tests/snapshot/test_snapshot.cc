#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "snapshot.h"
}

#define NR_SERVICES 4
#define NR_READERS 4
#define NR_VERSIONS 300
/* The largest number for which make_table() makes a valid tree. */
#define NUMBER_MAX 10000

/*
 * Part of a configuration version in which every name, address and setting
 * contains the version number, so that readers can check its origin.
 */
static std::string service_text(int service, int number)
{
	std::string s = std::to_string(service), n = std::to_string(number);

	return "\"s" + s + "\":{\"deployment\":\"d" + n +
	       "\",\"override\":{\"slots\":" + n + ",\"queue_max\":" + n +
	       ",\"deadline_ms\":" + n + "},\"targets\":[{\"host\":\"h" + s +
	       "-" + n + "\",\"zone\":\"z" + n + "\",\"traffic\":\"127.0.0.1:" +
	       std::to_string(10001 * service + number) +
	       "\"}],\"routes\":[{\"name\":\"r" + s + "\",\"prefix\":\"/s" + s +
	       "\",\"methods\":[\"POST\"]," +
	       "\"override\":{\"ticket_life_ms\":" +
	       std::to_string(1000 + number) + "}}]}";
}

static struct table *make_table(int number)
{
	std::string n = std::to_string(number), services;
	struct version_id id = { .number = number, .digest = {} };
	struct findings findings;

	for (int i = 0; i < NR_SERVICES; i++)
		services += (i ? "," : "") + service_text(i, number);
	std::string text = "{\"version\":" + n + ",\"deployments\":{\"d" + n +
			   "\":{}},\"zones\":{\"z" + n + "\":{\"region\":\"r" +
			   n + "\",\"deployment\":\"d" + n +
			   "\"}},\"services\":{" + services + "}}";

	findings_init(&findings);
	struct tree *tree =
		tree_parse(text.data(), text.size(), "test", &findings);
	EXPECT_NE(tree, nullptr) << text;
	findings_release(&findings);
	if (!tree)
		abort();
	struct table *table = table_new(tree, &id, NULL);
	tree_free(tree);
	return table;
}

/* Returns the table to use for the next look-up of a request. */
using GetTable = std::function<const struct table *()>;

static std::string check_target(const struct table_service *service,
				const struct table_target *target, int number,
				int index)
{
	std::string n = std::to_string(number);
	std::string host = "h" + std::to_string(index) + "-" + n;

	if (!target)
		return "no target " + host;
	if (target->service != service)
		return "target's service is another one";
	if (target < service->targets ||
	    target >= service->targets + service->nr_targets)
		return "target outside of its service";
	if (target->host != host || target->zone != "z" + n ||
	    target->region != "r" + n)
		return "target of another version";
	if (target->traffic !=
	    "127.0.0.1:" + std::to_string(10001 * index + number))
		return "address of another version";
	if (target->policy.slots != number ||
	    target->policy.queue_max != number)
		return "target policy of another version";
	return "";
}

static std::string check_route(const struct table *table,
			       const struct table_route *route, int number)
{
	const struct table_service *service;

	if (!route)
		return "no route";
	service = route->service;
	if (service < table->services ||
	    service >= table->services + table->nr_services)
		return "route's service is outside of the table";
	if (route < service->routes ||
	    route >= service->routes + service->nr_routes)
		return "route outside of its service";
	if (route->policy.deadline_ms != number ||
	    route->policy.ticket_life_ms != 1000 + number)
		return "route policy of another version";
	if (service->policy.deadline_ms != number ||
	    service->deployment != "d" + std::to_string(number))
		return "service of another version";
	return "";
}

/*
 * Makes the look-ups of one request, each in the table that get() returns.
 * Returns a description of the first inconsistency, or an empty text.
 */
static std::string check_request(const GetTable &get)
{
	int number = (int)get()->id.number;

	for (int i = 0; i < NR_SERVICES; i++) {
		std::string s = std::to_string(i);
		std::string host = "h" + s + "-" + std::to_string(number);
		const struct table *table = get();
		const struct table_route *route =
			table_match(table, HTTP_METHOD_POST,
				    ("/s" + s + "/1").c_str());
		std::string wrong = check_route(table, route, number);

		if (!wrong.empty())
			return wrong;
		table = get();
		const struct table_service *service =
			table_find_service(table, ("s" + s).c_str());
		if (service != route->service)
			return "service is not that of the route";
		if (table_find_route(service, ("r" + s).c_str()) != route)
			return "route differs by name and by path";
		wrong = check_target(service,
				     table_find_target(service, host.c_str()),
				     number, i);
		if (!wrong.empty())
			return wrong;
		if (get()->id.number != number)
			return "version changed";
	}
	return "";
}

/* A way to publish tables and to read them in a request. */
struct Store {
	virtual ~Store() = default;
	virtual void publish(struct table *table) = 0;
	/* Calls the function with the GetTable for one request. */
	virtual void request(const std::function<void(GetTable)> &run) = 0;
};

struct SnapshotStore : Store {
	void publish(struct table *table) override
	{
		snapshot_publish(table);
	}

	void request(const std::function<void(GetTable)> &run) override
	{
		struct snapshot *snapshot = snapshot_get();

		run([&] { return snapshot->table; });
		snapshot_put(snapshot);
	}
};

/* A faulty store: look-ups use the newest table instead of a snapshot. */
struct NewestTableStore : Store {
	std::atomic<struct table *> current{ nullptr };
	std::vector<struct table *> tables; /* kept for readers until the end */

	~NewestTableStore() override
	{
		for (struct table *table : tables)
			table_free(table);
	}

	void publish(struct table *table) override
	{
		tables.push_back(table);
		current = table;
	}

	void request(const std::function<void(GetTable)> &run) override
	{
		run([&] { return current.load(); });
	}
};

struct Reader {
	std::thread thread;
	std::string wrong; /* the first inconsistency */
	int64_t last = 0;
};

struct Readers {
	Store &store;
	std::vector<Reader> all{ NR_READERS };
	std::atomic<bool> stop{ false };
	std::atomic<size_t> nr_requests{ 0 };
	std::atomic<size_t> nr_wrong{ 0 };

	void check(Reader &reader, const GetTable &get)
	{
		int64_t number = get()->id.number;
		std::string wrong = check_request(get);

		if (wrong.empty() && number < reader.last)
			wrong = "version decreased";
		reader.last = number;
		if (reader.wrong.empty())
			reader.wrong = wrong;
		nr_wrong += !wrong.empty();
		nr_requests++;
	}

	/* Continues after a failure, since the publisher waits for requests. */
	void read(Reader &reader)
	{
		while (!stop)
			store.request([&](const GetTable &get) {
				check(reader, get);
			});
	}

	/* Publishes versions from 1 on while readers run, then stops them. */
	void run(int nr_versions, const std::function<bool()> &enough)
	{
		store.publish(make_table(1));
		for (auto &reader : all)
			reader.thread = std::thread([&] { read(reader); });
		for (int number = 2; number <= nr_versions && !enough();
		     number++) {
			size_t before = nr_requests;

			store.publish(make_table(number));
			/* Otherwise slow readers might see few versions. */
			while (nr_requests == before)
				std::this_thread::yield();
		}
		stop = true;
		for (auto &reader : all)
			reader.thread.join();
	}
};

/*
 * Guards against a request that sees two versions, against a snapshot that is
 * freed while a request holds it, and against a reader that gets an older
 * version after a newer one.
 */
TEST(Snapshot, ReadersSeeOneVersion)
{
	SnapshotStore store;
	Readers readers{ store };

	readers.run(NR_VERSIONS, [] { return false; });
	for (auto &reader : readers.all)
		EXPECT_EQ(reader.wrong, "");
	struct snapshot *snapshot = snapshot_get();

	ASSERT_NE(snapshot, nullptr);
	EXPECT_EQ(snapshot->table->id.number, NR_VERSIONS);
	snapshot_put(snapshot);
}

/*
 * Guards against a check that cannot fail: with a faulty store the readers must
 * detect requests that see two versions.
 */
TEST(FaultyStore, ReadersDetectTwoVersions)
{
	NewestTableStore store;
	Readers readers{ store };

	readers.run(NUMBER_MAX, [&] { return readers.nr_wrong > 0; });
	EXPECT_GT(readers.nr_wrong, 0u);
}

/* Guards against a held snapshot that changes when a new one is published. */
TEST(Snapshot, KeepsItsVersionWhileHeld)
{
	snapshot_publish(make_table(1));
	struct snapshot *held = snapshot_get();

	snapshot_publish(make_table(2));
	EXPECT_EQ(held->table->id.number, 1);
	EXPECT_EQ(check_request([&] { return held->table; }), "");
	snapshot_put(held);
	snapshot_put(NULL);
}

/*
 * Guard against a check_request() that misses inconsistencies: each test makes
 * a table inconsistent, and the check must fail.
 */
class InconsistentTable : public testing::Test
{
      protected:
	struct table *old_table = make_table(1);
	struct table *new_table = make_table(2);

	void SetUp() override
	{
		ASSERT_EQ(check_request([&] { return old_table; }), "");
		ASSERT_EQ(check_request([&] { return new_table; }), "");
	}

	void TearDown() override
	{
		table_free(old_table);
		table_free(new_table);
	}

	std::string check()
	{
		return check_request([&] { return new_table; });
	}
};

/* The table is replaced between any two look-ups of a request. */
TEST_F(InconsistentTable, TableReplacedWithinRequest)
{
	for (int at = 1; at < 1 + 3 * NR_SERVICES; at++) {
		int lookups = 0;

		EXPECT_NE(check_request([&] {
				  return lookups++ < at ? old_table : new_table;
			  }),
			  "")
			<< "replaced after " << at << " look-ups";
	}
}

TEST_F(InconsistentTable, RouteRefersToServiceOfOtherTable)
{
	new_table->services[1].routes[0].service = &old_table->services[1];
	EXPECT_EQ(check(), "route's service is outside of the table");
}

TEST_F(InconsistentTable, TargetRefersToServiceOfOtherTable)
{
	new_table->services[2].targets[0].service = &old_table->services[2];
	EXPECT_EQ(check(), "target's service is another one");
}

TEST_F(InconsistentTable, RoutePolicyOfOtherVersion)
{
	new_table->services[3].routes[0].policy =
		old_table->services[3].routes[0].policy;
	EXPECT_EQ(check(), "route policy of another version");
}

TEST_F(InconsistentTable, TargetPolicyOfOtherVersion)
{
	new_table->services[0].targets[0].policy =
		old_table->services[0].targets[0].policy;
	EXPECT_EQ(check(), "target policy of another version");
}

TEST_F(InconsistentTable, TargetsOfOtherVersion)
{
	struct table_target *targets = new_table->services[1].targets;

	new_table->services[1].targets = old_table->services[1].targets;
	EXPECT_NE(check(), "");
	new_table->services[1].targets = targets;
}
