/*
 * The queues of waiting requests, one for each priority. Urgent requests go
 * first; of the rest, batch requests get a share so that they are not starved.
 */
#include "core/queue.h"

#include <string.h>

#define FULL_TARGETS_MAX 8 /* at most recorded in one pass */
/*
 * A steady stream of normal requests would delay batch requests until their
 * deadline. So one of this many requests that are dispatched from the queues
 * below urgent is a batch request.
 */
#define BATCH_INTERVAL 8

/* The targets for which one pass over a queue found no capacity. */
typedef struct full_targets {
	const char *names[FULL_TARGETS_MAX];
	unsigned int count;
} full_targets_t;

/*
 * Adds a request to the queue of its priority, at the head if FIRST is set,
 * else at the end.
 */
void queue_add(entry_t *entry, request_t *request, bool first)
{
	list_node_t *queue = &entry->queues[request->priority];

	request->state = REQUEST_WAITING;
	list_append(first ? queue->next : queue, &request->node);
	entry->queued[request->priority]++;
}

/* Removes a request from its queue, if it is in one. */
void queue_remove(entry_t *entry, request_t *request)
{
	if (list_empty(&request->node))
		return;
	list_remove(&request->node);
	entry->queued[request->priority]--;
}

/*
 * Returns how many of the slots that this entry has in use are available to
 * requests of that priority. Batch requests have their share even if none of
 * them is running now.
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

/*
 * Returns whether the pass has found no capacity for the target of that NAME.
 */
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
 * Dispatches at most LIMIT requests of a queue; returns how many were
 * dispatched. A target without capacity for one request has none for the next
 * one of the same priority, so each target is tried once in a pass.
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
 * Dispatches waiting requests as far as there is capacity. A token frees no
 * capacity, so this does nothing unless a request ended or a report arrived
 * since the last call.
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
			/*
			 * If there is no capacity for it, the batch request
			 * stays due.
			 */
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
