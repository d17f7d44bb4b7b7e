/*
 * Which process of an upstream a connection leads to. A process that restarts under its id
 * and address is told from the one before by its registration only, which may come
 * seconds after it began to serve. upstream-process-notes.md has the cases.
 */
#ifndef PISTACHIO_FORWARD_UPSTREAM_PROCESS_H
#define PISTACHIO_FORWARD_UPSTREAM_PROCESS_H

#include <stdbool.h>

#include "ports/clock.h"

/* What connections have shown of the processes of an upstream; all 0: nothing. */
typedef struct upstream_process {
	pd_time_t restarted_at; /* when the last restart became known */
	/* since the registration of the present process: the last failure to connect */
	pd_time_t unreached_at;
	/* the same of the process before: it had ended by then; 0: not known */
	pd_time_t former_ended_at;
	/* since then: the first failure as nobody listens, so the process had ended */
	pd_time_t refused_at;
	pd_time_t answered_at; /* first connection after the last such one; 0: none */
} upstream_process_t;

/* A connection to an upstream that was made before its last restart became known. */
typedef struct upstream_connection {
	pd_time_t connected_at; /* 0: not yet */
	pd_time_t read_since; /* since when its data is read without a pause */
} upstream_connection_t;

void upstream_process_record_unreached(upstream_process_t *process, pd_time_t now);
void upstream_process_record_refused(upstream_process_t *process, pd_time_t now);
void upstream_process_record_connected(upstream_process_t *process, pd_time_t now);
void upstream_process_record_data(upstream_process_t *process,
				  pd_time_t connected_at, pd_time_t polled_at);
void upstream_process_record_restart(upstream_process_t *process, pd_time_t now);
bool upstream_process_is_proven(const upstream_process_t *process,
				pd_time_t polled_at);
void upstream_process_run(upstream_process_t *process, bool registrations_read,
			  pd_time_t now);
bool upstream_process_is_in_doubt(const upstream_process_t *process);
bool upstream_process_is_unregistered(const upstream_process_t *process,
				      pd_time_t connected_at);
bool upstream_process_is_former(const upstream_process_t *process,
				pd_time_t connected_at);
bool upstream_process_is_present(const upstream_process_t *process,
				 pd_time_t connected_at);
bool upstream_process_has_ended(const upstream_process_t *process,
				const upstream_connection_t *connection,
				pd_time_t now);

#endif
