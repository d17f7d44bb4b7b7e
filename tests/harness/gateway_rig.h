/*
 * Runs gateways as real processes against mock servers in the test's own event loop:
 * the platform's store and cloud, and upstreams that fail on request. Callers are
 * simulated by sockets.
 */
#ifndef PISTACHIO_TEST_GATEWAY_RIG_H
#define PISTACHIO_TEST_GATEWAY_RIG_H

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "adapters/http1/http1.h"
#include "core/list.h"
#include "tests/harness/process.h"

#define RIG_UPSTREAMS 3 /* of a rig without a size of its own */
#define RIG_GATEWAYS 3
#define RIG_UPSTREAMS_MAX 20
#define RIG_GATEWAYS_MAX 24
#define RIG_TIMEOUT_MS 10000 /* of a wait for a condition */

/* What an upstream does with a request. */
typedef enum rig_behavior {
	RIG_ANSWER,
	RIG_FAIL, /* runs it and responds with 500 */
	RIG_REJECT, /* responds that it was not run */
	RIG_REJECT_SLOWLY, /* the same, after RIG_SLOW_MS */
	RIG_HANG, /* runs it and never responds */
	RIG_CUT, /* closes the connection in the middle of the response */
	RIG_DOUBLE, /* sends a response for another call first */
	RIG_SLOW, /* responds after RIG_SLOW_MS */
	RIG_LARGE, /* responds with RIG_LARGE_BYTES */
	RIG_STREAM, /* RIG_EVENTS events, one every 20 ms */
	RIG_STREAM_CUT, /* the same, but stops in the middle of the fourth */
	RIG_STREAM_PIECES, /* each byte of it is a chunk */
	RIG_STREAM_SIZED, /* it has a length */
	RIG_STREAM_UNFRAMED, /* it has none, and ends with its connection */
	RIG_STREAM_REPEAT, /* it begins at the first event, whatever Last-Event-Id is */
	RIG_STREAM_WITHOUT_IDS, /* only its second event has an id */
	RIG_END, /* begins to run it, and ends with all its connections */
	RIG_VANISH, /* the same, but its connections stay silent */
	RIG_UNFRAMED_END, /* ends after the head of a stream that has no length */
	RIG_ENDLESS /* sends the server's endless_begin, and endless_piece on and on */
} rig_behavior_t;

#define RIG_SLOW_MS 1000
#define RIG_GRACE_S 8 /* of a rig without another one */
#define RIG_BRITTLE_MAX 32 /* rejections in a second */
#define RIG_DOWN_MS 1500 /* of an upstream that fell over */
#define RIG_RUN_MS 30 /* from the start of a run to the end of its upstream */
#define RIG_RESTART_MS 400 /* from the end of an upstream to its next start */
#define RIG_LARGE_BYTES 12000000 /* more than socket buffers hold */
#define RIG_EVENTS 6
#define RIG_ENDLESS_BLOCK 65536 /* at least so many bytes are sent at a time */

typedef struct gateway_rig gateway_rig_t;

typedef struct rig_server {
	gateway_rig_t *rig;
	uv_tcp_t listener;
	uint16_t port;
	int reserving_fd; /* keeps the port while it does not listen; -1: none */
	int number;
	bool down; /* closes each connection at its first request */
	bool silent; /* does not respond to requests */
	bool deaf; /* does not read from connections that it accepts */
	unsigned int silent_watches; /* watches of upstreams received while silent */
	unsigned int silent_waits; /* those of them that are to wait for a change */
	unsigned int arrivals;
	unsigned int aborted_calls; /* closed by the client before the response */
	rig_behavior_t behavior; /* of a store or the cloud: RIG_ENDLESS or ignored */
	const char *endless_begin;
	const char *endless_piece; /* repeated until the client disconnects */
	uint64_t endless_gap_ms; /* between the pieces; 0: as fast as possible */
	unsigned int event_gap_ms; /* between events of RIG_STREAM...; 0: 20 */
	double rate_limit; /* requests per second that its answers name; 0: none */
	unsigned int room; /* calls at a time; it rejects more; 0: any number */
	unsigned int work_ms; /* of a call with RIG_ANSWER; 0: none */
	unsigned int running;
	/* rejections in a second with which it falls over, as answers name; 0: none */
	unsigned int brittle;
	unsigned int rejections; /* since it last fell over */
	uint64_t rejected_ms[RIG_BRITTLE_MAX]; /* times of the last BRITTLE ones */
	unsigned int falls;
	const char *leaving; /* Server-Leaving of its answers; NULL: none */
	const char *rest; /* it rejects all calls with this Retry-After; NULL: none */
	uint64_t down_until_ms; /* until then it closes connections */
	/* of its software, registered and in the data of its events; NULL: none */
	const char *version;
	const char *next_version; /* from its next start on; NULL: the same */
	list_node_t sessions; /* connections to it */
	uv_timer_t restart;
	unsigned int ends; /* how often it ended; its id has this number */
	bool keeps_id; /* at its next starts, which the test registers */
	GString *last; /* the last request: head lines, then the body */
} rig_server_t;

struct gateway_rig {
	uv_loop_t loop;
	uv_timer_t ticker;
	char *dir;
	int gateway_count;
	int upstream_count;
	rig_server_t stores[RIG_GATEWAYS_MAX]; /* one store; a listener for each gateway */
	rig_server_t cloud;
	rig_server_t upstreams[RIG_UPSTREAMS_MAX];
	json_t *objects; /* kind -> name -> object */
	json_t *events; /* array, in the order of their revisions */
	json_int_t revision;
	json_int_t history_from; /* watches from before this revision get 410 */
	bool first_page_only; /* every page of upstreams claims that more follow */
	bool refuses_writes; /* the store answers them with 503 */
	unsigned int answers_to_drop; /* number of checkpoint writes to leave unanswered */
	unsigned int status_answers_to_drop; /* the same of writes of a status */
	uint64_t upstreams_listed_ms; /* when upstreams were last listed */
	uint64_t upstreams_watched_ms; /* first watch after that; 0: none yet */
	list_node_t watches;
	GPtrArray *usage; /* bodies of the usage reports received */
	GPtrArray *orders; /* bodies of the orders received */
	bool orders_unanswered;
	const char *more_settings; /* TOML appended to the settings; NULL: none */
	unsigned int grace_s; /* of a gateway that stops */
	unsigned int body_bytes_max; /* in configurations; 0: 64 KB */
	bool first_start; /* gateways that start are the first ever */
	GHashTable *runs; /* call id -> GUINT_TO_POINTER(number of runs) */
	/* behavior of an upstream for a request; NULL: that of the server */
	rig_behavior_t (*choose_behavior)(void *ctx, const char *target);
	/* called for each call that reaches an upstream; NULL: not */
	void (*observe_call)(void *ctx, int upstream, const char *call_id);
	void *ctx; /* of choose_behavior and observe_call */
	uint16_t store_proxy_ports[RIG_GATEWAYS_MAX]; /* of proxies in front; 0: none */
	uint16_t upstream_proxy_ports[RIG_UPSTREAMS_MAX]; /* 0: none */
	/* of proxies in front of upstreams for one gateway only; 0: none */
	uint16_t link_ports[RIG_GATEWAYS_MAX][RIG_UPSTREAMS_MAX];
	bool apart[RIG_GATEWAYS_MAX]; /* exchanges no messages with the others */
	process_t *gateways[RIG_GATEWAYS_MAX];
	uint16_t peer_ports[RIG_GATEWAYS_MAX];
	/* for peers, kept over restarts as a VM keeps its address; 0: to be chosen */
	uint16_t listen_ports[RIG_GATEWAYS_MAX];
	unsigned int listen_ports_tried;
};

/* A caller's connection and all that was received on it. */
typedef struct rig_caller {
	int fd;
	GString *received;
	bool closed;
} rig_caller_t;

uint64_t rig_now_ms(void);
gateway_rig_t *gateway_rig_create(void);
gateway_rig_t *gateway_rig_create_sized(int gateways, int upstreams);
void gateway_rig_destroy(gateway_rig_t *rig);
void rig_put(gateway_rig_t *rig, const char *kind, const char *name,
	     const char *spec);
void rig_remove(gateway_rig_t *rig, const char *kind, const char *name);
void rig_put_config(gateway_rig_t *rig, int version, const char *more_routes);
void rig_put_upstream(gateway_rig_t *rig, int number, const char *state);
void rig_put_upstream_started_at(gateway_rig_t *rig, int number, long started_at);
void rig_write_settings(gateway_rig_t *rig, int number, int store);
void rig_write_invalid_settings(gateway_rig_t *rig, int number);
void rig_start(gateway_rig_t *rig, int number);
void rig_run_once(gateway_rig_t *rig);
void rig_run_for(gateway_rig_t *rig, uint64_t ms);
int rig_count_logged(gateway_rig_t *rig, int number, const char *text);
unsigned int rig_run_count(const gateway_rig_t *rig, const char *call_id);
uint16_t rig_port(gateway_rig_t *rig, int number, const char *what);
void rig_end_upstream(gateway_rig_t *rig, int number);
void rig_vanish_upstream(gateway_rig_t *rig, int number);
rig_caller_t *rig_call(gateway_rig_t *rig, uint16_t port, const char *text);
void rig_send(rig_caller_t *caller, const char *text);
void rig_receive(rig_caller_t *caller);
bool rig_receive_some(rig_caller_t *caller);
void rig_caller_close(rig_caller_t *caller);
void rig_caller_destroy(rig_caller_t *caller);

/*
 * Runs the event loop until a condition holds; fails the test after MS. The condition is
 * evaluated once each time, as it may send a call.
 */
#define RIG_UNTIL_WITHIN(rig, condition, ms)                                 \
	do {                                                                 \
		uint64_t rig_end = rig_now_ms() + (ms);                      \
		bool rig_holds;                                              \
		while (!(rig_holds = (condition)) && rig_now_ms() < rig_end) \
			rig_run_once(rig);                                   \
		if (!rig_holds)                                              \
			fail_msg("gave up waiting for: %s", #condition);     \
	} while (0)

/* The same, with RIG_TIMEOUT_MS. */
#define RIG_UNTIL(rig, condition) \
	RIG_UNTIL_WITHIN(rig, condition, RIG_TIMEOUT_MS)

#endif
