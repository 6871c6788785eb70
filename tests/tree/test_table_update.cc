#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstring>

#include "helpers.h"

namespace
{

/* A tree of which each service and the defaults can be changed. */
struct TreeSpec {
	int defaults = 100;
	/* For each service: 0 is absent, else the content. */
	std::vector<int> services = { 1, 1, 1, 1 };
	/* The service whose route name, prefix, host or address, as selected
	 * by duplicate_kind, is that of service 0. */
	int duplicate_service = 0;
	std::string duplicate_kind;

	std::string text() const
	{
		std::string all =
			"{\"version\":1,\"defaults\":{\"deadline_ms\":" +
			std::to_string(defaults) +
			"},\"deployments\":{\"d\":{}},\"zones\":{\"z0\":"
			"{\"region\":\"r\",\"override\":{\"queue_max\":5}},"
			"\"z1\":{\"region\":\"r\",\"in_service\":false}},"
			"\"services\":{";
		bool first = true;

		for (size_t i = 0; i < services.size(); i++) {
			if (!services[i])
				continue;
			all += (first ? "" : ",") + service(i);
			first = false;
		}
		return all + "}}";
	}

	std::string service(size_t i) const
	{
		std::string n = std::to_string(i);
		std::string value = std::to_string(services[i]);
		auto own = [&](const char *kind) {
			return (int)i == duplicate_service &&
					       duplicate_kind == kind
				       ? std::string("0")
				       : n;
		};

		return "\"s" + n +
		       "\":{\"deployment\":\"d\",\"override\":{\"slots\":" +
		       value + "},\"targets\":[{\"host\":\"h" + own("host") +
		       "\",\"zone\":\"z" + std::to_string(i % 2) +
		       "\",\"traffic\":\"127.0.0.1:" +
		       std::to_string(std::stoi(own("address")) + 1) +
		       "\"}],\"routes\":[{\"name\":\"b" + own("name") +
		       "\",\"prefix\":\"/b" + own("prefix") +
		       "\",\"methods\":[\"GET\",\"PUT\"]},{\"name\":\"a" + n +
		       "\",\"prefix\":\"/a" + n + "-" + value +
		       "\",\"methods\":[\"POST\"],\"at_most_once\":true,"
		       "\"override\":{\"deadline_ms\":" +
		       value + "}}]}";
	}
};

/* The parts of a tree as they are at the source, valid or not. */
struct Version {
	std::vector<std::string> names, texts;
	std::vector<struct manifest_entry> entries;
	std::vector<const char *> data;
	struct manifest manifest = {};

	explicit Version(const TreeSpec &spec, int64_t number)
	{
		Json all(json_loads(spec.text().c_str(), 0, nullptr));
		Json services(
			json_incref(json_object_get(all.get(), "services")));
		const char *key;
		json_t *value;

		json_object_del(all.get(), "version");
		json_object_del(all.get(), "services");
		add("root", all.get());
		json_object_foreach (services.get(), key, value)
			add(std::string("service/") + key, value);
		for (size_t i = 0; i < names.size(); i++) {
			struct manifest_entry entry = { names[i].data(),
							{},
							texts[i].size() };

			digest_compute(&entry.digest, texts[i].data(),
				       texts[i].size());
			entries.push_back(entry);
			data.push_back(texts[i].data());
		}
		manifest.id.number = number;
		manifest.entries = entries.data();
		manifest.nr_entries = entries.size();
	}
	Version(const Version &) = delete;

	void add(const std::string &name, json_t *json)
	{
		char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);

		names.push_back(name);
		texts.emplace_back(text);
		free(text);
	}

	/* Builds the table from all parts; NULL when the version is refused. */
	Table build(const char *zone) const
	{
		struct findings findings;

		findings_init(&findings);
		Tree tree(tree_assemble(&manifest, data.data(), &findings));
		findings_release(&findings);
		return Table(tree ? table_new(tree.get(), &manifest.id, zone)
				  : nullptr);
	}

	Table update(const Version &base, const struct table *table,
		     const char *zone) const
	{
		return Table(table_update(table, &base.manifest, &manifest,
					  data.data(), zone));
	}
};

/* Guards against a table that differs from the one that parsing all parts
 * gives, and against an update that accepts a version which parsing refuses. */
RC_GTEST_PROP(TableUpdate, GivesTheTableOfAllParts, ())
{
	TreeSpec before, after;
	const char *zone = *rc::gen::element("z0", "z1", "none");

	for (int &service : before.services)
		service = *rc::gen::inRange(0, 3);
	before.services[0] = 1;
	after = before;
	for (int &service : after.services)
		if (*rc::gen::inRange(0, 2))
			service = *rc::gen::inRange(0, 4);
	if (!*rc::gen::inRange(0, 6))
		after.defaults++;
	if (*rc::gen::inRange(0, 2)) {
		after.duplicate_service = *rc::gen::inRange(1, 4);
		after.duplicate_kind =
			*rc::gen::element<std::string>("host", "address",
						       "name", "prefix");
	}
	Version old(before, 1), now(after, 2);
	Table base = old.build(zone);

	RC_ASSERT((bool)base);
	Table expected = now.build(zone);
	Table updated = now.update(old, base.get(), zone);
	if (updated) {
		RC_ASSERT((bool)expected);
		/* The updated table must not refer to memory of the base. */
		base.reset();
		RC_ASSERT(describe(updated.get()) == describe(expected.get()));
		auto finds = [](const Table &table) {
			return table_match(table.get(), HTTP_METHOD_GET,
					   "/b0") != nullptr;
		};
		RC_ASSERT(finds(updated) == finds(expected));
	}
}

/* Guards against an incremental update that is never possible. */
TEST(TableUpdate, UpdatesOneChangedService)
{
	TreeSpec before, after;

	after.services = { 1, 2, 0, 1 };
	Version old(before, 1), now(after, 2);
	Table base = old.build("z0");
	Table updated = now.update(old, base.get(), "z0");

	ASSERT_TRUE(updated);
	EXPECT_EQ(describe(updated.get()), describe(now.build("z0").get()));
}

/* Guards against a route, prefix, host or address that two services share
 * after a change of one of them. */
TEST(TableUpdate, RefusesDuplicatesAcrossServices)
{
	for (const char *kind : { "host", "address", "name", "prefix" }) {
		TreeSpec before, after;

		SCOPED_TRACE(kind);
		after.duplicate_service = 2;
		after.duplicate_kind = kind;
		Version old(before, 1), now(after, 2);
		Table base = old.build("z0");

		EXPECT_FALSE(now.update(old, base.get(), "z0"));
		EXPECT_FALSE(now.build("z0"));
	}
}

/* Guards against services that keep inherited settings of an older root. */
TEST(TableUpdate, RefusesChangedRoot)
{
	TreeSpec before, after;

	after.defaults = 200;
	Version old(before, 1), now(after, 2);
	Table base = old.build("z0");

	EXPECT_FALSE(now.update(old, base.get(), "z0"));
}

} // namespace
