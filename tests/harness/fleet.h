/*
 * A fleet of processes on loopback for a test: stand-ins, entries and placers, and
 * HTTP calls to them. Tests wait for conditions; nothing sleeps for a fixed time.
 */
#ifndef PISTACHIO_TEST_FLEET_H
#define PISTACHIO_TEST_FLEET_H

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "adapters/http_client.h"
#include "tests/harness/forwarder.h"
#include "tests/harness/process.h"

#define FLEET_NODES_MAX 64
#define FLEET_WAIT_MS 30000 /* limit of fleet_wait() */

#define FLEET_LINE_KEY "line-key" /* may call station-call, station-fenced */
#define FLEET_OFFICE_KEY "office-key" /* may call ledger-reader, trace-lookup */

typedef struct fleet_config {
	unsigned int entries;
	unsigned int placers;
	unsigned int engines; /* serve ledger-reader, over zones a to d */
	unsigned int services; /* serve station-call, over zones a to d */
	const char *token_ms; /* between tokens of an engine; NULL: 5 */
	const char *slots; /* of an engine; NULL: 64 */
	const char *work_ms; /* duration of a call to a service; NULL: 5 */
	bool forward_platform; /* through a forwarder */
	bool forward_upstreams; /* through a forwarder each */
	const char *bundle_extra; /* TOML appended to the bundle, or NULL */
} fleet_config_t;

typedef struct fleet_node {
	process_t *process;
	char *id;
	char *zone;
	int port; /* HTTP */
	forwarder_t *forwarder; /* in front of it, or NULL */
} fleet_node_t;

typedef struct fleet {
	char *dir;
	uv_loop_t *loop;
	uv_timer_t poll_timer;
	http_client_t *client;
	fleet_config_t config;
	fleet_node_t platform;
	fleet_node_t entries[FLEET_NODES_MAX];
	fleet_node_t placers[FLEET_NODES_MAX];
	fleet_node_t engines[FLEET_NODES_MAX];
	fleet_node_t services[FLEET_NODES_MAX];
	uint64_t generation; /* last rolled out */
} fleet_t;

/* An HTTP call and the part of the response received so far. */
typedef struct call {
	fleet_t *fleet;
	http_call_t *http;
	int status;
	char *request_id;
	char *content_type;
	bool replayed;
	int64_t retry_after; /* seconds, 0 if none */
	GString *body;
	bool done;
	bool failed; /* the connection broke before the response was complete */
	int64_t sent_at; /* monotonic microseconds */
	int64_t first_byte_at; /* first byte of the body */
	int64_t first_token_at; /* first event with an id */
	int64_t done_at;
} call_t;

typedef bool (*fleet_condition_t)(void *ctx);

fleet_t *fleet_create(const fleet_config_t *config);
void fleet_destroy(fleet_t *fleet);
void fleet_start_entry(fleet_t *fleet, unsigned int index);
void fleet_stop_entry(fleet_t *fleet, unsigned int index, int signum);
void fleet_rollout(fleet_t *fleet, uint64_t generation);
char *fleet_sign_bundle(fleet_t *fleet, uint64_t generation);
void fleet_wait_ready(fleet_t *fleet);
void fleet_wait(fleet_t *fleet, fleet_condition_t condition, void *ctx,
		const char *what);
bool fleet_wait_ms(fleet_t *fleet, fleet_condition_t condition, void *ctx,
		   int64_t limit_ms);

call_t *call_start(fleet_t *fleet, int port, const char *method,
		   const char *path, const char *key, const char *idempotency_key,
		   const char *last_event_id, const char *body);
void call_wait(call_t *call);
void call_cancel(call_t *call);
void call_destroy(call_t *call);
json_t *fleet_get(fleet_t *fleet, int port, const char *path);
void fleet_post(fleet_t *fleet, int port, const char *path, const char *body);

call_t *completion_start(fleet_t *fleet, int port, const char *prompt,
			 unsigned int tokens, bool stream);
char *completion_text(const call_t *call);
char *completion_expected(const char *prompt, unsigned int tokens);
bool completion_is_complete(const call_t *call);
call_t *station_call_start(fleet_t *fleet, int port, const char *key);
const char *call_problem(const call_t *call, char *buffer, size_t size);

#endif
