/*
 * Which software version began each stream. What two versions write does not fit
 * together, so a stream may go on only at the version that began it, also where its
 * caller takes it up again at another gateway. stream-versions-notes.md compares the
 * ways to know it there.
 */
#ifndef PISTACHIO_FORWARD_STREAM_VERSIONS_H
#define PISTACHIO_FORWARD_STREAM_VERSIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ports/clock.h"

/* Streams may be resumed for this long after their first event, or a route's timeout. */
#define STREAM_VERSIONS_TTL_MIN (30 * PD_SEC)

/* The version id of a stream of which gateways recorded several; no upstream has it. */
#define STREAM_VERSION_DISPUTED 2

/* The version that began a stream. */
typedef struct stream_record {
	uint64_t attempt; /* hash of the id of the attempt that brought the first event */
	uint64_t version_id; /* of a service and its software version */
} stream_record_t;

typedef struct stream_versions stream_versions_t;

/* Called with a service and its only version. */
typedef void (*stream_versions_each_t)(void *ctx, const char *service,
				       uint64_t version_id);

stream_versions_t *stream_versions_create(pd_time_t ttl, pd_time_t now);
void stream_versions_destroy(stream_versions_t *streams);
void stream_versions_set_ttl(stream_versions_t *streams, pd_time_t ttl,
			     pd_time_t now);
uint64_t stream_versions_hash(const char *attempt_id);
void stream_versions_record(stream_versions_t *streams, uint64_t attempt,
			    uint64_t version_id, pd_time_t now);
void stream_versions_merge(stream_versions_t *streams,
			   const stream_record_t *record, pd_time_t now);
uint64_t stream_versions_find(const stream_versions_t *streams, uint64_t attempt);
unsigned int stream_versions_take_unsent(stream_versions_t *streams,
					 stream_record_t *records,
					 unsigned int most);
bool stream_versions_has_urgent(const stream_versions_t *streams);
bool stream_versions_is_unsent(const stream_versions_t *streams, uint64_t attempt);
void stream_versions_record_serving(stream_versions_t *streams, const char *service,
				    uint64_t version_id, pd_time_t now);
void stream_versions_begin_history(stream_versions_t *streams, pd_time_t now);
void stream_versions_record_first(stream_versions_t *streams);
void stream_versions_lose_history(stream_versions_t *streams, pd_time_t now);
void stream_versions_restore_sole(stream_versions_t *streams, const char *service,
				  uint64_t version_id, pd_time_t now);
uint64_t stream_versions_sole(const stream_versions_t *streams,
			      const char *service, pd_time_t now);
bool stream_versions_is_ambiguous(const stream_versions_t *streams,
				  uint64_t version_id, pd_time_t now);
void stream_versions_each_sole(const stream_versions_t *streams, pd_time_t now,
			       stream_versions_each_t each, void *ctx);

#endif
