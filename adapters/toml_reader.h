/*
 * Reading TOML through toml++, the one C++ library here: no TOML library for C
 * is packaged. A document is flattened to leaves with a dotted key and a line.
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
	int64_t number; /* of an integer, or 0 and 1 */
	double decimal; /* of a float */
} toml_leaf_t;

typedef struct toml_document {
	toml_leaf_t *leaves;
	size_t count;
	char *json; /* the whole document */
	char *problem; /* NULL if it could be read */
	unsigned int problem_line; /* 0: the file itself can't be read */
} toml_document_t;

toml_document_t *toml_document_read(const char *path);
void toml_document_free(toml_document_t *document);

#ifdef __cplusplus
}
#endif

#endif
