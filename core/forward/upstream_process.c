/* Tells connections to the process that serves from those to one that has ended. */
#include "core/forward/upstream_process.h"

#include <glib.h>

/*
 * Data of a process that has ended may be read a little later, as it was in a socket's
 * buffer. What is read after the loop has waited for input so long after the end was
 * sent later.
 */
#define BUFFERED_DATA_TIME (10 * PD_MSEC)
/*
 * A connection without data for so long after a restart became known leads to the process
 * that has ended, if nothing shows otherwise. Streams pause for less.
 */
#define SILENCE_MAX (600 * PD_MSEC)
/* A process registers within this time of its first connection, if the store answers. */
#define REGISTRATION_TIME_MAX (5 * PD_SEC)

/* Records that no connection could be made: no process serves there now, or no path. */
void upstream_process_record_unreached(upstream_process_t *process, pd_time_t now)
{
	process->unreached_at = now;
}

/* Records that nobody listens: the process that registered has ended. */
void upstream_process_record_refused(upstream_process_t *process, pd_time_t now)
{
	upstream_process_record_unreached(process, now);
	if (!process->refused_at)
		process->refused_at = now;
	process->answered_at = 0;
}

/* Records that a connection was made. */
void upstream_process_record_connected(upstream_process_t *process, pd_time_t now)
{
	if (process->refused_at && !process->answered_at)
		process->answered_at = now;
}

/*
 * Records that data was read from a connection, after the loop had waited for input at
 * POLLED_AT. If the connection is older than a failure to connect, its process has not
 * ended.
 */
void upstream_process_record_data(upstream_process_t *process,
				  pd_time_t connected_at, pd_time_t polled_at)
{
	if (connected_at >= process->unreached_at ||
	    polled_at - process->unreached_at < BUFFERED_DATA_TIME)
		return;
	process->unreached_at = 0;
	/* A process that began after the first refusal is still not registered. */
	if (connected_at < process->refused_at)
		process->refused_at = 0;
	else
		process->unreached_at = process->refused_at;
}

/* Records that a registration shows a process other than the one before. */
void upstream_process_record_restart(upstream_process_t *process, pd_time_t now)
{
	process->restarted_at = now;
	process->former_ended_at = process->unreached_at;
	process->unreached_at = 0;
	process->refused_at = 0;
}

/*
 * Ends the doubt about a process whose restart would have been registered by now.
 * REGISTRATIONS_READ: the store is being read; if not, registrations may be late.
 */
void upstream_process_run(upstream_process_t *process, bool registrations_read,
			  pd_time_t now)
{
	if (!process->refused_at || !process->answered_at)
		return;
	if (!registrations_read)
		process->answered_at = now;
	else if (now - process->answered_at >= REGISTRATION_TIME_MAX)
		process->refused_at = 0;
}

/* Returns whether a process may serve that was started since the registration. */
bool upstream_process_is_in_doubt(const upstream_process_t *process)
{
	return process->refused_at != 0;
}

/* Returns whether a connection may lead to such a process. */
bool upstream_process_is_unregistered(const upstream_process_t *process,
				      pd_time_t connected_at)
{
	return process->refused_at && connected_at > process->refused_at;
}

/* Returns whether a connection is known to lead to the process before the last restart. */
bool upstream_process_is_former(const upstream_process_t *process,
				pd_time_t connected_at)
{
	return connected_at < process->former_ended_at;
}

/*
 * Returns whether data that is read now, after the loop had waited for input at POLLED_AT,
 * was sent after the last restart became known, and so by the process that serves now.
 */
bool upstream_process_is_proven(const upstream_process_t *process,
				pd_time_t polled_at)
{
	return polled_at - process->restarted_at >= BUFFERED_DATA_TIME;
}

/*
 * Returns whether a connection is known to lead to the process that serves since the last
 * restart: it was made after that became known, or after the former process could not be
 * reached any more. CONNECTED_AT of 0: it is not made yet.
 */
bool upstream_process_is_present(const upstream_process_t *process,
				 pd_time_t connected_at)
{
	return !connected_at || connected_at >= process->restarted_at ||
	       (process->former_ended_at && connected_at > process->former_ended_at);
}

/*
 * Returns whether a connection that is older than the last restart, and has brought no
 * data since that became known, leads to a process that has ended. The present one may be
 * silent for long while it reads a prompt.
 */
bool upstream_process_has_ended(const upstream_process_t *process,
				const upstream_connection_t *connection,
				pd_time_t now)
{
	pd_time_t silent_since = MAX(process->restarted_at, connection->read_since);

	return !upstream_process_is_present(process, connection->connected_at) &&
	       now - silent_since >= SILENCE_MAX;
}
