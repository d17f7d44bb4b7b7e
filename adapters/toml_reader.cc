/* C interface to toml++; no C++ type or exception crosses it. */
#include "adapters/toml_reader.h"

#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <cstdlib>
#include <cstring>

#define TOML_ENABLE_UNRELEASED_FEATURES 0
/*
 * toml++ 3.3 has assertions that some malformed keys violate, so a typing error
 * in a file would abort the process instead of being reported. As an exception,
 * a failed assertion is reported like any other error.
 */
#define TOML_ASSERT(condition)                                \
	do {                                                  \
		if (!(condition))                             \
			throw std::runtime_error("not TOML"); \
	} while (0)
/* In noexcept functions a failed assertion still terminates the process. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wterminate"
#include <toml++/toml.h>
#pragma GCC diagnostic pop

/*
 * Appends a node that is neither table nor array, with copies of its strings.
 */
static void add_leaf(std::vector<toml_leaf_t> &leaves, const std::string &key,
		     const toml::node &node)
{
	toml_leaf_t leaf = {};

	leaf.key = strdup(key.c_str());
	leaf.line = node.source().begin.line;
	leaf.kind = TOML_OTHER;
	if (const auto *text = node.as_string()) {
		leaf.kind = TOML_STRING;
		leaf.text = strdup(text->get().c_str());
	} else if (const auto *number = node.as_integer()) {
		leaf.kind = TOML_INTEGER;
		leaf.number = number->get();
	} else if (const auto *decimal = node.as_floating_point()) {
		leaf.kind = TOML_FLOAT;
		leaf.decimal = decimal->get();
	} else if (const auto *boolean = node.as_boolean()) {
		leaf.kind = TOML_BOOLEAN;
		leaf.number = boolean->get() ? 1 : 0;
	}
	leaves.push_back(leaf);
}

/* Appends the leaves of NODE, whose key is KEY. */
static void flatten(std::vector<toml_leaf_t> &leaves, const std::string &key,
		    const toml::node &node)
{
	if (const auto *table = node.as_table()) {
		for (const auto &item : *table) {
			std::string name(item.first.str());

			flatten(leaves, key.empty() ? name : key + "." + name,
				item.second);
		}
	} else if (const auto *array = node.as_array()) {
		size_t i = 0;

		for (const auto &item : *array)
			flatten(leaves, key + "[" + std::to_string(i++) + "]",
				item);
	} else {
		add_leaf(leaves, key, node);
	}
}

/*
 * Reads the file at PATH. Returns a document that the caller frees, never NULL.
 * If the file is unreadable or malformed, the document holds only the problem.
 */
toml_document_t *toml_document_read(const char *path)
{
	auto *document = static_cast<toml_document_t *>(
		calloc(1, sizeof(toml_document_t)));

	try {
		toml::table table = toml::parse_file(path);
		std::vector<toml_leaf_t> leaves;
		std::ostringstream json;

		flatten(leaves, "", table);
		json << toml::json_formatter{ table };
		document->count = leaves.size();
		document->leaves = static_cast<toml_leaf_t *>(
			calloc(leaves.size() + 1, sizeof(toml_leaf_t)));
		for (size_t i = 0; i < leaves.size(); i++)
			document->leaves[i] = leaves[i];
		document->json = strdup(json.str().c_str());
	} catch (const toml::parse_error &error) {
		document->problem =
			strdup(std::string(error.description()).c_str());
		document->problem_line = error.source().begin.line;
	} catch (const std::exception &error) {
		document->problem = strdup(error.what());
	}
	return document;
}

/* Frees a document; NULL is allowed. */
void toml_document_free(toml_document_t *document)
{
	if (!document)
		return;
	for (size_t i = 0; i < document->count; i++) {
		free(document->leaves[i].key);
		free(document->leaves[i].text);
	}
	free(document->leaves);
	free(document->json);
	free(document->problem);
	free(document);
}
