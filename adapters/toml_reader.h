/*
 * C interface to toml++, the only C++ library here: no TOML library for C is
 * packaged. A document is flattened to leaves, each with a dotted key and a
 * line number.
 */
#ifndef PISTACHIO_TOML_READER_H
#define PISTACHIO_TOML_READER_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum toml_kind {
	TOML_STRING,
	TOML_INTEGER,
	TOML_BOOLEAN,
	TOML_FLOAT,
	TOML_OTHER
} toml_kind_t;

typedef struct toml_leaf {
	char *key; /* as in platform.port or peers.seeds[0] */
	unsigned int line;
	toml_kind_t kind;
	char *text; /* of a string */
	int64_t number; /* of an integer; of a boolean, 0 or 1 */
	double decimal; /* of a float */
} toml_leaf_t;

typedef struct toml_document {
	toml_leaf_t *leaves;
	size_t count;
	char *json; /* the whole document as JSON */
	char *problem; /* error message; NULL if it was read */
	unsigned int problem_line; /* 0 if unknown, as for a missing file */
} toml_document_t;

toml_document_t *toml_document_read(const char *path);
void toml_document_free(toml_document_t *document);

#ifdef __cplusplus
}
#endif

#endif
