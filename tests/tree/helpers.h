#ifndef TESTS_TREE_HELPERS_H
#define TESTS_TREE_HELPERS_H

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "tree/tree.h"
}

template <typename T, void (*release)(T *)> struct Release {
	void operator()(T *pointer) const
	{
		release(pointer);
	}
};

using Tree = std::unique_ptr<struct tree, Release<struct tree, tree_free>>;
using Table = std::unique_ptr<struct table, Release<struct table, table_free>>;
using Bundle =
	std::unique_ptr<struct bundle, Release<struct bundle, bundle_free>>;
using Manifest = std::unique_ptr<struct manifest,
				 Release<struct manifest, manifest_free>>;
using Json = std::unique_ptr<json_t, Release<json_t, json_decref>>;

/* The result of reading a document, with findings as "PLACE: message". */
template <typename T> struct Result {
	T value;
	std::vector<std::string> findings;

	/* The findings as one text, for failure messages. */
	std::string text() const
	{
		std::string all;

		for (const auto &finding : findings)
			all += finding + "\n";
		return all;
	}
};

Result<Tree> parse(const std::string &text);
Result<Manifest> parse_manifest(const std::string &text);

/* Splits a tree, parses the manifest and assembles the parts again. */
Result<Tree> round_trip(const struct tree *tree);

/* Divides a JSON document, valid or not, into parts and assembles them. */
Result<Tree> assemble_document(const std::string &text);

Table new_table(const struct tree *tree, const char *zone);

/* All contents of a table as text, for comparing two tables. */
std::string describe(const struct table *table);

/* A small valid tree with every kind of object. */
extern const char *const SMALL_TREE;

/* Returns text with the first occurrence of from replaced by to. */
std::string replaced(std::string text, const std::string &from,
		     const std::string &to);

std::string read_file(const std::string &path);

/*
 * Reads the cases of a file in this directory: one per line, with fields
 * separated by " | ", \n for a line feed, and # at the start of a comment.
 */
std::vector<std::vector<std::string>> read_cases(const std::string &name);

#endif
