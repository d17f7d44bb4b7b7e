/*
 * The queues of waiting requests, one for each priority. Urgent work goes
 * first; of the rest, batch work gets a share so that it is not starved.
 */
#include "core/queue.h"

#include <string.h>

#define FULL_TARGETS_MAX \
	8 /* targets found full_targets that one pass remembers */
/*
 * A steady stream of normal work would hold batch work back until its deadline.
 * So of each this many sent from the queues below urgent one is a batch request.
 */
#define BATCH_INTERVAL 8

/* The targets that one pass over a queue found with no room. */
typedef struct full_targets {
	const char *names[FULL_TARGETS_MAX];
	unsigned int count;
} full_targets_t;

/* Puts a request into the queue of its priority, at its end or its head. */
void queue_add(entry_t *entry, request_t *request, bool first)
{
	list_node_t *queue = &entry->queues[request->priority];

	request->state = REQUEST_WAITING;
	list_append(first ? queue->next : queue, &request->node);
	entry->queued[request->priority]++;
}

/* Takes a request out of its queue, if it is in one. */
void queue_remove(entry_t *entry, request_t *request)
{
	if (list_empty(&request->node))
		return;
	list_remove(&request->node);
	entry->queued[request->priority]--;
}

/*
 * Returns how many slots, of those that this entry has in use, work of that
 * priority gets. Batch work gets its share though none of it runs just now.
 */
double queue_slots(const entry_t *entry, priority_t priority)
{
	const unsigned int *running = entry->running_of;
	double share;

	if (priority != PRIORITY_BATCH)
		return running[priority];
	share = (double)(running[PRIORITY_NORMAL] + running[PRIORITY_BATCH]) /
		BATCH_INTERVAL;
	return entry->queued[PRIORITY_NORMAL]
		       ? share
		       : MAX(running[PRIORITY_BATCH], share);
}

static bool full_targets_contain(const full_targets_t *full_targets,
				 const char *name)
{
	for (unsigned int i = 0; i < full_targets->count; i++) {
		if (!strcmp(full_targets->names[i], name))
			return true;
	}
	return false;
}

/*
 * Sends at most LIMIT requests of a queue; returns how many went. A target that
 * had no room for one request has none for the next of the same priority, so
 * it is asked about once a pass.
 */
static unsigned int queue_dispatch(entry_t *entry, priority_t priority,
				   unsigned int limit)
{
	full_targets_t full_targets = { .count = 0 };
	unsigned int sent = 0;

	LIST_FOR_EACH_SAFE (it, &entry->queues[priority]) {
		request_t *request = LIST_ENTRY(it, request_t, node);

		if (sent >= limit || full_targets.count >= FULL_TARGETS_MAX)
			break;
		if (full_targets_contain(&full_targets, request->target.name))
			continue;
		switch (dispatch_queued(entry, request)) {
		case ROUTE_CHOSEN:
			sent++;
			break;
		case ROUTE_ALL_BUSY:
		case ROUTE_NONE:
			full_targets.names[full_targets.count++] =
				request->target.name;
			break;
		}
	}
	return sent;
}

/*
 * Sends out what waits, as far as there is room. A token gives no room, so
 * unless something ended or was heard since the last pass, it does nothing.
 */
void queue_run(entry_t *entry)
{
	if (!entry->room_may_exist)
		return;
	entry->room_may_exist = false;
	queue_dispatch(entry, PRIORITY_URGENT, G_MAXUINT);
	for (;;) {
		unsigned int sent = 0;

		if (entry->normal_since_batch >= BATCH_INTERVAL - 1) {
			sent = queue_dispatch(entry, PRIORITY_BATCH, 1);
			/* With no room for it, its turn is still to come. */
			if (sent)
				entry->normal_since_batch = 0;
		}
		if (!sent && queue_dispatch(entry, PRIORITY_NORMAL, 1)) {
			entry->normal_since_batch++;
			sent = 1;
		}
		if (!sent)
			break;
	}
	queue_dispatch(entry, PRIORITY_BATCH, G_MAXUINT);
}
