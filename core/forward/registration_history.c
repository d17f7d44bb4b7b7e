/* Decides when the history of registrations is read, and what a read shows. */
#include "core/forward/registration_history.h"

#include <glib.h>

/* Requests that come together share a read. */
#define READ_PERIOD (40 * PD_MSEC)

struct registration_history {
	uint64_t revision; /* all registrations up to it were read; 0: not known */
	pd_time_t current_at; /* the latest time as of which all were read */
	pd_time_t wanted_at; /* of the latest request; 0: none */
	pd_time_t call_at; /* when the call in flight was sent; 0: none is */
	pd_time_t read_at; /* when a read last began */
	bool partial; /* more pages follow */
};

/* Returns a history that is not known yet; the caller owns it. */
registration_history_t *registration_history_create(void)
{
	return g_new0(registration_history_t, 1);
}

/* Frees a history; NULL is allowed. */
void registration_history_destroy(registration_history_t *history)
{
	g_free(history);
}

/* Begins with a complete listing as of a revision, unless the history is known. */
void registration_history_begin(registration_history_t *history, uint64_t revision)
{
	if (!history->revision)
		history->revision = revision;
}

/* Records that the store has discarded what is to be read next. */
void registration_history_lose(registration_history_t *history)
{
	history->revision = 0;
	history->current_at = 0;
	history->call_at = 0;
	history->partial = false;
}

/* Returns whether there was no gap since the history began. */
bool registration_history_is_known(const registration_history_t *history)
{
	return history->revision != 0;
}

/* Records that all changes from a revision to another one were read by a watch. */
void registration_history_advance(registration_history_t *history,
				  uint64_t from, uint64_t to)
{
	if (history->revision && history->revision >= from)
		history->revision = MAX(history->revision, to);
}

/* Requests a read that begins at NOW or later. */
void registration_history_request(registration_history_t *history, pd_time_t now)
{
	history->wanted_at = now;
}

/* Returns whether a read that was requested lately has not ended. */
bool registration_history_is_wanted(const registration_history_t *history,
				    pd_time_t now)
{
	return history->revision && history->wanted_at > history->current_at &&
	       now - history->wanted_at <= REGISTRATION_READ_MAX;
}

/*
 * Returns the revision from which to call for a page now, and records that the call is
 * sent; 0: no call is due.
 */
uint64_t registration_history_next_read(registration_history_t *history,
					pd_time_t now)
{
	if (history->call_at || !registration_history_is_wanted(history, now) ||
	    (!history->partial && now - history->read_at < READ_PERIOD))
		return 0;
	if (!history->partial)
		history->read_at = now;
	history->call_at = now;
	return history->revision;
}

/*
 * Ends a call with a page up to a revision. IS_LAST: it has no events, so all changes until
 * the call was sent are known. Returns whether they are.
 */
bool registration_history_end_read(registration_history_t *history,
				   uint64_t revision, bool is_last)
{
	pd_time_t call_at = history->call_at;

	history->call_at = 0;
	if (!history->revision || !call_at)
		return false;
	history->revision = MAX(history->revision, revision);
	history->partial = !is_last;
	if (is_last)
		history->current_at = call_at;
	return is_last;
}

/* Ends a call that was not answered. */
void registration_history_fail_read(registration_history_t *history)
{
	history->call_at = 0;
}

/*
 * Returns whether all that was registered until SINCE was read, which a read shows that
 * began then or later.
 */
bool registration_history_is_current(const registration_history_t *history,
				     pd_time_t since)
{
	return history->revision && history->current_at >= since;
}
