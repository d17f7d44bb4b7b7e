/* The state that the files of the entry's runner share; private to them. */
#ifndef PISTACHIO_ENTRY_RUNNER_PARTS_H
#define PISTACHIO_ENTRY_RUNNER_PARTS_H

#include "adapters/bundle_watch.h"
#include "adapters/caller_http.h"
#include "adapters/entry_runner.h"
#include "adapters/explain.h"
#include "adapters/metrics.h"
#include "adapters/peer_link.h"
#include "adapters/platform_http.h"
#include "adapters/upstream_http.h"
#include "core/entry.h"

struct entry_runner {
	uv_loop_t *loop;
	const settings_t *settings;
	char *public_key;
	peer_keys_t *peer_keys;
	entry_t *entry;
	platform_t *platform;
	upstream_http_t *upstreams;
	caller_http_t *callers;
	peer_link_t *peers;
	bundle_watch_t *bundles;
	metrics_t *metrics;
	explain_t *explain;
	member_info_t self;
	uv_timer_t tick_timer;
	uv_timer_t seeds_timer;
	bool registered; /* this entry's record is in the store */
	bool listed_after_registration; /* the list was read while registered */
	bool handling; /* actions are being performed */
	bool stopping;
	pd_time_t core_stopped_at; /* 0: the core has not stopped */
	list_node_t actions; /* of action_t, not yet performed */
};

/* entry_runner.c */
void runner_handle(entry_runner_t *runner, event_t *event);

/* entry_pages.c */
bool entry_pages_reply(void *ctx, http_exchange_t *exchange);

/* entry_seeds.c */
void entry_seeds_start(entry_runner_t *runner);

#endif
