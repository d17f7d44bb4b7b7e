/*
 * Detects outages of the store. Registrations of upstreams expire in an outage
 * and are back seconds after it, while other upstreams leave at any time; both
 * look like a removal. They are distinguished by when the store recovered, not by
 * when a gateway got its next answer to a watch: a watch that waits is answered
 * by the very next removal.
 */
#include "core/forward/store_outage.h"

#include "core/forward/store_feed.h"

/*
 * Where nothing changes, waiting watches are the only calls that are answered.
 * A shorter silence lets no registration expire either, as that takes several
 * heartbeats.
 */
#define OUTAGE_SILENCE_MIN (STORE_WATCH_WAIT + 400 * PD_MSEC)

/*
 * A gateway that is not cut off goes a shorter time without a message from
 * peers.
 */
#define ISOLATION_MIN (2 * PD_SEC)

struct store_outage {
	pd_time_t last_answer_at; /* last answer to a call of any gateway */
	/* last failure of a call of this gateway or a peer; 0: none */
	pd_time_t last_failure_at;
	/* end of the last silence of OUTAGE_SILENCE_MIN or more; 0: none */
	pd_time_t silence_ended_at;
	pd_time_t ended_at; /* end of the last outage; 0: none */
	pd_time_t last_peer_message_at; /* 0: none */
	/* end of the last isolation from peers; 0: none */
	pd_time_t isolation_ended_at;
};

/*
 * Returns a detector that starts at NOW; an outage may have begun before. The
 * caller owns it.
 */
store_outage_t *store_outage_create(pd_time_t now)
{
	store_outage_t *outage = g_new0(store_outage_t, 1);

	outage->last_answer_at = now - OUTAGE_SILENCE_MIN;
	return outage;
}

/* Frees a detector; NULL is allowed. */
void store_outage_destroy(store_outage_t *outage)
{
	g_free(outage);
}

/* Records that a message from a peer arrived. */
void store_outage_record_peer_message(store_outage_t *outage, pd_time_t now)
{
	if (outage->last_peer_message_at &&
	    now - outage->last_peer_message_at >= ISOLATION_MIN)
		outage->isolation_ended_at = now;
	outage->last_peer_message_at = now;
}

/*
 * Returns for how long before AT the store answered no call while this gateway
 * received messages of peers; 0 if it received none. A gateway that was cut off or
 * frozen can't infer an outage from its own silence.
 */
static pd_time_t silence_before(const store_outage_t *outage, pd_time_t at)
{
	if (outage->last_peer_message_at &&
	    at - outage->last_peer_message_at >= ISOLATION_MIN)
		return 0;
	return at - MAX(outage->last_answer_at, outage->isolation_ended_at);
}

/*
 * Records that the store answered a call of this gateway, or of one known from
 * messages, at AT. A silence that ends was an outage if a call failed in it;
 * without calls, nothing is answered either.
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
 * Records that a call made at SENT_AT failed; for a call of a peer, SENT_AT is
 * when its message was received. If the calls of others were answered all
 * along, the store was unreachable from this gateway only. A call that was made
 * before an outage ended belongs to that outage, whenever it fails.
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

/*
 * Returns when the last outage ended, by the first answer that is known; 0:
 * never.
 */
pd_time_t store_outage_end(const store_outage_t *outage)
{
	return outage->ended_at;
}
