/*
 * The load: entries of upstreams lapse in an outage of the store and are back seconds
 * after it, while others leave as ever, and both look alike. What tells them apart is
 * when the store was back, not when a gateway got its next answer to a watch: a watch
 * that waits is answered by the very next entry that goes.
 */
#include "core/forward/store_outage.h"

#include "core/forward/store_feed.h"

/*
 * Where nothing changes, watches that wait are all that is answered. A shorter silence
 * lets no entry lapse either, as that takes several heartbeats.
 */
#define OUTAGE_SILENCE_MIN (STORE_WATCH_WAIT + 400 * PD_MSEC)

/* Longer than a gateway that is not cut off goes without a message of its peers. */
#define ISOLATION_MIN (2 * PD_SEC)

struct store_outage {
	pd_time_t last_answer_at; /* a call of any gateway, last */
	pd_time_t last_failure_at; /* a call of this gateway or a peer, last; 0: none */
	pd_time_t silence_ended_at; /* of the last long silence; 0: there was none */
	pd_time_t ended_at; /* of the last outage; 0: there was none */
	pd_time_t peer_message_at; /* last; 0: no peer was heard yet */
	pd_time_t isolation_ended_at; /* of the last long time without; 0: there was none */
};

/*
 * Returns the record of a start at NOW, for which the store may have been away before;
 * the caller owns it.
 */
store_outage_t *store_outage_create(pd_time_t now)
{
	store_outage_t *outage = g_new0(store_outage_t, 1);

	outage->last_answer_at = now - OUTAGE_SILENCE_MIN;
	return outage;
}

/* Frees a record; NULL is allowed. */
void store_outage_destroy(store_outage_t *outage)
{
	g_free(outage);
}

/* Takes that a message of a peer came. */
void store_outage_record_peer_message(store_outage_t *outage, pd_time_t now)
{
	if (outage->peer_message_at && now - outage->peer_message_at >= ISOLATION_MIN)
		outage->isolation_ended_at = now;
	outage->peer_message_at = now;
}

/*
 * Returns how long the store was silent up to AT while this gateway heard its peers:
 * one that was cut off or frozen can't tell an outage by its own silence.
 */
static pd_time_t silence_before(const store_outage_t *outage, pd_time_t at)
{
	if (outage->peer_message_at && at - outage->peer_message_at >= ISOLATION_MIN)
		return 0;
	return at - MAX(outage->last_answer_at, outage->isolation_ended_at);
}

/*
 * Takes that the store answered a call at AT, of this gateway or of one that it hears
 * of. A silence that ends is an outage if a call failed in it: without calls, nothing
 * is answered either.
 */
void store_outage_record_answer(store_outage_t *outage, pd_time_t at)
{
	if (at <= outage->last_answer_at)
		return;
	if (silence_before(outage, at) >= OUTAGE_SILENCE_MIN) {
		outage->silence_ended_at = at;
		if (outage->last_failure_at > outage->last_answer_at)
			outage->ended_at = at;
	}
	outage->last_answer_at = at;
}

/*
 * Takes that a call made at SENT_AT was refused or not answered, one of this gateway or,
 * with the time at which it is heard, of a peer. If others were answered all along, only
 * this gateway lacked the store. A call that was made before an outage ended is part of
 * that outage, whenever it fails.
 */
void store_outage_record_failure(store_outage_t *outage, pd_time_t sent_at,
				 pd_time_t now)
{
	if (sent_at < outage->ended_at)
		return;
	outage->last_failure_at = now;
	if (outage->silence_ended_at > sent_at)
		outage->ended_at = outage->silence_ended_at;
}

/* Returns when the last outage ended, by the first answer that is known; 0: never. */
pd_time_t store_outage_end(const store_outage_t *outage)
{
	return outage->ended_at;
}
