/* Records a bounded number of decisions and evicts the oldest. */
#include "adapters/explain.h"

#include <jansson.h>
#include <string.h>

#define RECORDS_MAX 4096

typedef struct record {
	list_node_t node;
	char *request_id;
	json_t *decision;
} record_t;

struct explain {
	list_node_t records; /* of record_t, oldest first */
	unsigned int count;
};

/* Returns an empty log of decisions; it lives as long as the process. */
explain_t *explain_create(void)
{
	explain_t *explain = g_new0(explain_t, 1);

	list_init(&explain->records);
	return explain;
}

/* Frees a record. */
static void record_destroy(record_t *record)
{
	json_decref(record->decision);
	g_free(record->request_id);
	g_free(record);
}

/*
 * Records a decision, which is copied; one without a request ("-") is ignored.
 */
void explain_record(explain_t *explain, const decision_t *decision)
{
	record_t *record;

	if (!strcmp(decision->request_id, "-"))
		return;
	record = g_new0(record_t, 1);
	record->request_id = g_strdup(decision->request_id);
	record->decision =
		json_pack("{s:s, s:s, s:s, s:s}", "part", decision->component,
			  "choice", decision->choice, "reason", decision->reason,
			  "passed_over", decision->passed_over);
	list_append(&explain->records, &record->node);
	if (++explain->count <= RECORDS_MAX)
		return;
	explain->count--;
	record_destroy(LIST_ENTRY(list_pop(&explain->records), record_t, node));
}

/*
 * Returns the decisions of a request as JSON, owned by the caller, or NULL if
 * there are none.
 */
char *explain_json(const explain_t *explain, const char *request_id)
{
	json_t *decisions = json_array();
	json_t *body;
	char *text;
	char *copy;

	LIST_FOR_EACH (it, &explain->records) {
		const record_t *record = LIST_ENTRY(it, record_t, node);

		if (!strcmp(record->request_id, request_id))
			json_array_append(decisions, record->decision);
	}
	if (json_array_size(decisions) == 0) {
		json_decref(decisions);
		return NULL;
	}
	body = json_pack("{s:s, s:o}", "request_id", request_id, "decisions",
			 decisions);
	text = json_dumps(body, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(body);
	return copy;
}
