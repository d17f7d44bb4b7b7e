/* The leader's note in the lease's record, and its JSON form. */
#include "adapters/gateway/duties_note.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/json.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "duties"

/* Returns an empty note; the caller owns it. */
duties_note_t *duties_note_create(void)
{
	duties_note_t *note = g_new0(duties_note_t, 1);

	note->needs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return note;
}

/* Frees a note; NULL is allowed. */
void duties_note_destroy(duties_note_t *note)
{
	if (!note)
		return;
	g_hash_table_unref(note->needs);
	g_free(note->report);
	g_free(note);
}

/* Sets the report of a window; REPORT is copied. */
void duties_note_set_report(duties_note_t *note, int64_t window, const char *report)
{
	char *copy = g_strdup(report);

	g_free(note->report);
	note->report = copy;
	note->window = window;
}

/* Sets the planned load of a service, in engines; ignores one that isn't positive. */
void duties_note_set_need(duties_note_t *note, const char *service, double need)
{
	double *value;

	if (!isfinite(need) || need <= 0)
		return;
	value = g_new(double, 1);
	*value = need;
	g_hash_table_insert(note->needs, g_strdup(service), value);
}

/* Returns the planned load of a service, in engines; 0 if the note has none. */
double duties_note_need(const duties_note_t *note, const char *service)
{
	const double *need = g_hash_table_lookup(note->needs, service);

	return need ? *need : 0;
}

/*
 * Parses a note; NULL and "" give an empty one. The caller owns it. An invalid text is
 * logged and gives an empty note as well: its window is then reported again, which the
 * platform rejects if the previous report had other counts.
 */
duties_note_t *duties_note_parse(const char *text)
{
	duties_note_t *note = duties_note_create();
	json_t *root;
	json_t *need;
	const char *service;
	const char *report;
	pd_error_t err;

	if (!text || !*text)
		return note;
	root = json_parse(text, strlen(text), &err);
	if (!root) {
		log_error(LOG_COMPONENT, "note", &err);
		return note;
	}
	report = json_string_or(root, "report", NULL);
	if (report)
		duties_note_set_report(note, json_integer_or(root, "window", 0),
				       report);
	json_object_foreach(json_object_get(root, "needs"), service, need)
		duties_note_set_need(note, service, json_number_value(need));
	json_decref(root);
	return note;
}

/* Returns the note as JSON text, owned by the caller. */
char *duties_note_format(const duties_note_t *note)
{
	json_t *root = json_object();
	json_t *needs = json_object();
	GHashTableIter iter;
	gpointer service;
	gpointer need;
	char *text;
	char *copy;

	if (note->report) {
		json_object_set_new(root, "window",
				    json_integer((json_int_t)note->window));
		json_object_set_new(root, "report", json_string(note->report));
	}
	g_hash_table_iter_init(&iter, note->needs);
	while (g_hash_table_iter_next(&iter, &service, &need))
		json_object_set_new(needs, service, json_real(*(double *)need));
	json_object_set_new(root, "needs", needs);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	copy = g_strdup(text);
	free(text);
	json_decref(root);
	return copy;
}
