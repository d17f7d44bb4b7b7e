/*
 * Acquires, renews and loses the lease. A holder bounds its own lease by the
 * time at which it requested the last renewal that succeeded; the others by how
 * long the object has not changed. Neither compares clocks of two machines. The
 * argument is in lease-notes.md.
 */
#include "core/lease.h"

#include <string.h>

#define STORE_TIMEOUT (2 * PD_SEC)
/* Delay before the holder retries after an inconclusive reply. */
#define HOLDER_RETRY_DELAY (300 * PD_MSEC)
/* Spreads the first reads, as all candidates may start at once. */
#define START_JITTER (2 * PD_SEC)
/*
 * Largest time step that is counted. A clock that jumps ahead would make a
 * renewed lease look abandoned, and two placers would send orders until the
 * holder's next renewal failed. Ticks are far more frequent than this.
 */
#define TIME_STEP_MAX PD_SEC

/*
 * Timing of the placers: at the planned size each candidate sends two reads to
 * the store in 29 s. lease-notes.md compares the alternatives.
 */
const lease_timing_t lease_timing_placer = {
	.term = 6 * PD_SEC,
	.renew_period = 2 * PD_SEC,
	.takeover_timeout = 9 * PD_SEC,
	.standby_period = 20 * PD_SEC,
};

struct lease {
	char *holder;
	char *predecessors; /* prefix of their names; NULL: unknown */
	lease_timing_t timing;
	GRand *random;
	store_op_t next_op;
	store_op_t op; /* request in flight; 0: none */
	bool writing;
	pd_time_t requested_at;
	pd_time_t next_at; /* when the next request is due; 0: not yet set */
	uint64_t version; /* of the object, as last read or written */
	pd_time_t unchanged_for; /* how long the version has not changed */
	pd_time_t last_step_at; /* when unchanged_for was last updated */
	bool second_read_due; /* candidate: next read is the second */
	bool retry_at_once; /* repeat the request in flight if it fails */
	bool can_take_over; /* as shown by the latest request, a read */
	pd_time_t held_until; /* 0: not held by this process */
	lease_record_t *record; /* as last read or written; NULL: unknown */
	lease_record_t *pending; /* content of the write in flight */
	bool dirty; /* the record changed since the last write */
	bool missing; /* the object does not exist, as last read */
};

/*
 * Returns a lease that is not held; the caller owns it. HOLDER is a name unique
 * to this process, and SEED drives the jitter.
 */
lease_t *lease_create(const char *holder, const lease_timing_t *timing, uint32_t seed)
{
	lease_t *lease = g_new0(lease_t, 1);

	lease->holder = g_strdup(holder);
	lease->timing = *timing;
	lease->random = g_rand_new_with_seed(seed);
	lease->next_op = 1;
	return lease;
}

/*
 * Sets how the names of this machine's former processes begin, this one's included. These
 * have ended, so their lease is taken over at once, with a new fencing token.
 */
void lease_set_predecessors(lease_t *lease, const char *prefix)
{
	g_free(lease->predecessors);
	lease->predecessors = g_strdup(prefix);
}

/* Frees the lease without releasing it; NULL is allowed. */
void lease_destroy(lease_t *lease)
{
	if (!lease)
		return;
	lease_record_destroy(lease->record);
	lease_record_destroy(lease->pending);
	g_rand_free(lease->random);
	g_free(lease->predecessors);
	g_free(lease->holder);
	g_free(lease);
}

/* Returns whether this process holds the lease at NOW and may send orders. */
bool lease_is_held(const lease_t *lease, pd_time_t now)
{
	return now < lease->held_until;
}

/* Returns the time until which this process holds the lease; 0: it does not. */
pd_time_t lease_held_until(const lease_t *lease)
{
	return lease->held_until;
}

/*
 * Returns whether orders may follow from the record: the lease is held, and the
 * record has been written to the store without later changes.
 */
bool lease_is_synced(const lease_t *lease, pd_time_t now)
{
	return lease_is_held(lease, now) && !lease->dirty && !lease->op &&
	       lease->record;
}

/* Returns the fencing token to send with each order; 0 if unknown. */
uint64_t lease_fencing_token(const lease_t *lease)
{
	return lease->record ? lease->record->fence : 0;
}

/* Returns the record as last known, borrowed, or NULL. */
const lease_record_t *lease_record(const lease_t *lease)
{
	return lease->record;
}

/*
 * Adds an intent to the record, to be written at once with a renewal. INTENT is
 * copied. Returns false if there is no room or the record is unknown.
 */
bool lease_add_intent(lease_t *lease, const intent_t *intent)
{
	lease_record_t *record = lease->record;

	if (!record || record->intent_count == INTENTS_MAX)
		return false;
	intent_copy(&record->intents[record->intent_count++], intent);
	lease->dirty = true;
	return true;
}

/* Removes the intent with that tag, if any, with the next write. */
void lease_drop_intent(lease_t *lease, const char *tag)
{
	lease_record_t *record = lease->record;

	for (unsigned int i = 0; record && i < record->intent_count; i++) {
		if (strcmp(record->intents[i].tag, tag))
			continue;
		intent_clear(&record->intents[i]);
		record->intents[i] = record->intents[--record->intent_count];
		lease->dirty = true;
		return;
	}
}

/*
 * Sets the note for the next holder, to be written with the next renewal.
 * Nothing may be done that depends on it before. Returns false if the lease is
 * not synced.
 */
bool lease_set_note_deferred(lease_t *lease, const char *note, pd_time_t now)
{
	if (!lease_is_synced(lease, now))
		return false;
	g_free(lease->record->note);
	lease->record->note = g_strdup(note);
	return true;
}

/*
 * Sets the note that the holder records before it acts on it, to be written at
 * once. Returns false if the lease is not synced: a change made while a write
 * is in flight could be lost with that write's reply.
 */
bool lease_set_note(lease_t *lease, const char *note, pd_time_t now)
{
	if (!lease_set_note_deferred(lease, note, now))
		return false;
	lease->dirty = true;
	return true;
}

/*
 * Reads the lease at once if this process is a candidate and the holder seems
 * to have terminated. The regular check would notice that some seconds later.
 */
void lease_check_now(lease_t *lease, pd_time_t now)
{
	if (lease->second_read_due || lease_is_held(lease, now))
		return;
	lease->retry_at_once = lease->op != 0;
	lease->next_at = MIN(lease->next_at, now);
}

/*
 * Makes the first read at once, for a node that held the lease before it was
 * restarted. All candidates may have been restarted, and it need not wait for
 * the takeover time-out.
 */
void lease_check_at_start(lease_t *lease, pd_time_t now)
{
	if (lease->next_op == 1)
		lease->next_at = now;
}

/* Returns whether the record, which must be known, names this process. */
static bool lease_is_ours(const lease_t *lease)
{
	return !g_strcmp0(lease->record->holder, lease->holder);
}

/* Returns whether the record, which must be known, names a former process of ours. */
static bool lease_is_predecessors(const lease_t *lease)
{
	const char *holder = lease->record->holder;

	return lease->predecessors && holder && !lease_is_ours(lease) &&
	       g_str_has_prefix(holder, lease->predecessors);
}

/*
 * Returns whether the record, as last known, names a holder that is neither this process
 * nor a former one of its machine.
 */
bool lease_is_others(const lease_t *lease)
{
	return lease->record && lease->record->holder &&
	       !lease_is_ours(lease) && !lease_is_predecessors(lease);
}

/* Returns whether the record, which must be known, names no holder. */
static bool lease_is_free(const lease_t *lease)
{
	const char *holder = lease->record->holder;

	return lease->missing || !holder || !*holder;
}

/* Returns a random time between 0.5 and 1.5 times PERIOD. */
static pd_time_t lease_jitter(lease_t *lease, pd_time_t period)
{
	return period / 2 +
	       (pd_time_t)(g_rand_double(lease->random) * (double)period);
}

/*
 * Schedules the next read of a candidate. Two reads, a takeover time-out apart,
 * show whether the lease is being renewed; then the store is left alone for the
 * standby period. Watching the object instead would wake every placer at each
 * renewal.
 */
static void lease_schedule_standby(lease_t *lease, bool changed, pd_time_t now)
{
	if (lease->unchanged_for >= lease->timing.takeover_timeout) {
		lease->next_at = now;
	} else if (lease->second_read_due && changed) {
		lease->second_read_due = false;
		lease->next_at =
			now + lease_jitter(lease, lease->timing.standby_period);
	} else {
		lease->second_read_due = true;
		lease->next_at = now + lease->timing.takeover_timeout -
				 lease->unchanged_for;
	}
}

/* Returns when to read again after a read that failed. */
static pd_time_t lease_read_retry_at(lease_t *lease, pd_time_t now)
{
	if (lease->retry_at_once)
		return now;
	if (lease_is_held(lease, now))
		return now + HOLDER_RETRY_DELAY;
	return now + lease_jitter(lease, lease->timing.takeover_timeout);
}

/* Handles the store's reply to a read. */
static void lease_handle_read(lease_t *lease, const lease_reply_t *reply,
			      pd_time_t now)
{
	bool changed = reply->version != lease->version;

	if (reply->status != STORE_OK && reply->status != STORE_MISSING) {
		lease->next_at = lease_read_retry_at(lease, now);
		return;
	}
	lease->missing = reply->status == STORE_MISSING;
	lease->version = reply->version;
	if (changed)
		lease->unchanged_for = 0;
	lease_record_destroy(lease->record);
	lease->record = reply->record ? lease_record_copy(reply->record)
				      : lease_record_create();
	lease->dirty = false;
	lease->can_take_over =
		lease_is_free(lease) || lease_is_predecessors(lease) ||
		lease->unchanged_for >= lease->timing.takeover_timeout;
	/* Our own name may show a write whose reply was lost. */
	if (!lease_is_ours(lease))
		lease->held_until = 0;
	if (lease_is_ours(lease) || lease->can_take_over)
		lease->next_at = now;
	else
		lease_schedule_standby(lease, changed, now);
}

/* Handles the store's reply to a write. */
static void lease_handle_write(lease_t *lease, const lease_reply_t *reply,
			       pd_time_t now)
{
	if (reply->status != STORE_OK) {
		/* A late write of this machine makes the renewal conflict, too. */
		bool was_own = lease->record && (lease_is_ours(lease) ||
						 lease_is_predecessors(lease));

		/* Only a read shows who holds it now. */
		g_clear_pointer(&lease->record, lease_record_destroy);
		lease->dirty = false;
		if (reply->status == STORE_CONFLICT)
			lease->held_until = 0;
		/*
		 * After losing the race for an expired lease there is no hurry.
		 */
		lease->next_at =
			now +
			(was_own || reply->status == STORE_UNKNOWN
				 ? HOLDER_RETRY_DELAY
				 : lease_jitter(lease,
						lease->timing.standby_period));
		return;
	}
	lease_record_destroy(lease->record);
	lease->record = g_steal_pointer(&lease->pending);
	lease->version = reply->version;
	lease->unchanged_for = 0;
	lease->held_until = lease->requested_at + lease->timing.term;
	lease->next_at = lease->requested_at + lease->timing.renew_period;
	lease->missing = false;
	lease->dirty = false;
}

/* Handles the store's reply to the request in flight; ignores any other. */
void lease_handle_reply(lease_t *lease, const lease_reply_t *reply, pd_time_t now)
{
	if (!lease->op || reply->op != lease->op)
		return;
	lease->op = 0;
	if (lease->writing)
		lease_handle_write(lease, reply, now);
	else
		lease_handle_read(lease, reply, now);
	lease->retry_at_once = false;
	g_clear_pointer(&lease->pending, lease_record_destroy);
}

/*
 * Returns a read or write request, owned by the caller, and records it as the
 * one in flight.
 */
static placer_action_t *lease_request(lease_t *lease, placer_action_kind_t kind,
				      pd_time_t now)
{
	placer_action_t *action = placer_action_create(kind);

	lease->op = lease->next_op++;
	lease->requested_at = now;
	lease->can_take_over = false;
	lease->writing = kind == PLACER_LEASE_WRITE;
	action->lease.op = lease->op;
	action->lease.version = lease->version;
	return action;
}

/*
 * Appends a write that acquires or renews the lease, with the changed record.
 */
static void lease_write(lease_t *lease, pd_time_t now, list_node_t *actions)
{
	placer_action_t *action = lease_request(lease, PLACER_LEASE_WRITE, now);
	lease_record_t *record = lease_record_copy(lease->record);

	if (g_strcmp0(record->holder, lease->holder)) {
		g_free(record->holder);
		record->holder = g_strdup(lease->holder);
		record->fence++;
	}
	record->renewals++;
	lease->pending = record;
	action->lease.record = lease_record_copy(record);
	list_append(actions, &action->node);
}

/*
 * Returns whether a write may succeed. An expired lease is taken only right
 * after a read that showed it unchanged: a write based on an old version would
 * fail, at the cost of a useless request.
 */
static bool lease_may_write(const lease_t *lease)
{
	return lease->record && (lease_is_ours(lease) || lease->can_take_over);
}

/* Updates the time for which the version has not changed. */
static void lease_advance_time(lease_t *lease, pd_time_t now)
{
	pd_time_t step = now - lease->last_step_at;

	if (lease->last_step_at)
		lease->unchanged_for += CLAMP(step, 0, TIME_STEP_MAX);
	lease->last_step_at = now;
}

/*
 * Reads, acquires or renews the lease as due at NOW; appends the request to
 * ACTIONS, whose items the caller owns.
 */
void lease_run(lease_t *lease, pd_time_t now, list_node_t *actions)
{
	const lease_reply_t timed_out = { .op = lease->op, .status = STORE_UNKNOWN };

	lease_advance_time(lease, now);
	if (!lease->next_at)
		lease->next_at = now + (pd_time_t)(g_rand_double(lease->random) *
						   (double)START_JITTER);
	if (lease->op && now - lease->requested_at >= STORE_TIMEOUT)
		lease_handle_reply(lease, &timed_out, now);
	if (lease->op || (now < lease->next_at && !lease->dirty))
		return;
	if (lease_may_write(lease))
		lease_write(lease, now, actions);
	else
		list_append(actions,
			    &lease_request(lease, PLACER_LEASE_READ, now)->node);
}
