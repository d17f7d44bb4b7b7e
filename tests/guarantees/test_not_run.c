/*
 * A call rejected with "not-run" has not run: the tests cause each kind of rejection
 * and check that no such call is in the stand-ins' records. Conversely, a call that
 * certainly did not run should get "not-run" rather than "outcome-unknown", since a
 * terminal can retry at once only after "not-run".
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/json.h"
#include "adapters/signing.h"
#include "tests/harness/history.h"

#define ENTRIES 2
#define SERVICES 2
#define CALLS 24
#define SLOTS 64 /* of a service */
#define FLOOD_CALLS_MAX 512 /* calls at most to provoke a rejection */
#define PARTIAL_HEAD_BYTES 40 /* less than the head of a request */
#define PATH_CALLS "/v1/services/station-call/calls"

static const char bundle_extra[] =
	"[services.brief-call]\nrepeatable = false\ntimeout_ms = 600\n"
	"[accounts.brief]\nallow = [\"brief-call\"]\n"
	"requests_per_second = 100000\nburst = 100000\n"
	"key_hash = \"%s\"\n"
	"[accounts.limited]\nallow = [\"station-call\"]\n"
	"requests_per_second = 1\nburst = 4\nkey_hash = \"%s\"\n"
	"[limits]\nqueue_limit = 8\n";

static char *bundle_text;

static int setup(void **state)
{
	fleet_config_t config = { .entries = ENTRIES,
				  .services = SERVICES,
				  .work_ms = "20",
				  .forward_upstreams = true };
	char *brief = signing_hash("brief-key", strlen("brief-key"));
	char *limited = signing_hash("limited-key", strlen("limited-key"));

	bundle_text = g_strdup_printf(bundle_extra, brief, limited);
	config.bundle_extra = bundle_text;
	*state = fleet_create(&config);
	g_free(brief);
	g_free(limited);
	return 0;
}

static int teardown(void **state)
{
	fleet_destroy(*state);
	g_free(bundle_text);
	return 0;
}

static void set_store(fleet_t *fleet, const char *faults)
{
	fleet_post(fleet, fleet->platform.port, "/standin/faults", faults);
}

static void set_services(fleet_t *fleet, const char *faults)
{
	for (unsigned int i = 0; i < SERVICES; i++)
		fleet_post(fleet, fleet->services[i].port, "/standin/faults",
			   faults);
}

/* Clears faults that an earlier test left behind when it failed. */
static int clear_faults(void **state)
{
	set_store(*state, "{}");
	set_services(*state, "{\"work_ms\":20}");
	return 0;
}

/* Sends COUNT calls with new keys, over all entries. */
static void send_calls(history_t *history, fleet_t *fleet, const char *name,
		       unsigned int count, const char *account_key)
{
	char key[64];

	for (unsigned int i = 0; i < count; i++) {
		int port = fleet->entries[i % ENTRIES].port;

		snprintf(key, sizeof(key), "%s-%u", name, i);
		history_add_station_call(history,
					 call_start(fleet, port, "POST",
						    PATH_CALLS, account_key, key,
						    NULL, "{\"station\":12}"),
					 key);
	}
}

/* Waits for all calls, checks the guarantees, prints the outcomes and returns them. */
static history_stats_t wait_and_check(history_t *history, const char *name)
{
	history_stats_t stats;

	history_wait(history);
	stats = history_check(history);
	history_assert_guarantees(&stats);
	assert_int_equal(stats.broken, 0);
	print_message("%s: %u answered, %u not-run, %u outcome-unknown (%u of "
		      "them never ran), %u refused otherwise\n",
		      name, stats.answered, stats.not_run, stats.outcome_unknown,
		      stats.unknown_but_not_run, stats.refused);
	return stats;
}

typedef struct progress {
	fleet_t *fleet;
	unsigned int running;
} progress_t;

/* Returns true if the services are running that many calls. */
static bool services_are_running(void *ctx)
{
	const progress_t *progress = ctx;
	json_int_t running = 0;

	for (unsigned int i = 0; i < SERVICES; i++) {
		json_t *load = fleet_get(progress->fleet,
					 progress->fleet->services[i].port,
					 "/load");

		running += json_integer_or(load, "running", 0);
		json_decref(load);
	}
	return running >= progress->running;
}

typedef struct flood {
	fleet_t *fleet;
	history_t *history;
	call_t *calls[FLOOD_CALLS_MAX];
	unsigned int sent;
} flood_t;

/* Sends one more call each time, up to FLOOD_CALLS_MAX; returns true once one was rejected. */
static bool a_call_was_rejected(void *ctx)
{
	flood_t *flood = ctx;
	int port = flood->fleet->entries[flood->sent % ENTRIES].port;
	char key[64];

	for (unsigned int i = 0; i < flood->sent; i++) {
		if (flood->calls[i]->done && flood->calls[i]->status != 200)
			return true;
	}
	if (flood->sent == FLOOD_CALLS_MAX)
		return false;
	snprintf(key, sizeof(key), "over-%u", flood->sent);
	flood->calls[flood->sent] = station_call_start(flood->fleet, port, key);
	history_add_station_call(flood->history, flood->calls[flood->sent++], key);
	return false;
}

/* All services and the queue are full. Calls rejected for that must not have run. */
static void test_queue_is_full(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	progress_t progress = { fleet, SLOTS * SERVICES };
	flood_t flood = { fleet, history, { NULL }, 0 };
	history_stats_t stats;

	set_services(fleet, "{\"work_ms\":4000}");
	send_calls(history, fleet, "full", 2 * progress.running, FLEET_LINE_KEY);
	fleet_wait(fleet, services_are_running, &progress, "services to be full");
	fleet_wait(fleet, a_call_was_rejected, &flood, "a refusal");
	stats = wait_and_check(history, "queue full");
	assert_true(stats.not_run > 0);
	assert_int_equal(stats.outcome_unknown, 0);
	set_services(fleet, "{\"work_ms\":20}");
	history_destroy(history);
}

/*
 * An account exceeds its request rate. Calls rejected for that must not have run, and
 * none may get outcome-unknown.
 */
static void test_account_exceeds_its_limit(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	history_stats_t stats;

	send_calls(history, fleet, "limit", CALLS, "limited-key");
	stats = wait_and_check(history, "limit");
	assert_true(stats.refused > 0);
	assert_int_equal(stats.outcome_unknown, 0);
	history_destroy(history);
}

/*
 * The store is down, so no call can be claimed. All must get "not-run", and the same
 * keys must run when it is back.
 */
static void test_store_is_down(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	history_stats_t stats;

	set_store(fleet, "{\"store_down\":true}");
	send_calls(history, fleet, "outage", CALLS, FLEET_LINE_KEY);
	stats = wait_and_check(history, "store down");
	assert_int_equal(stats.not_run, CALLS);
	set_store(fleet, "{}");
	history_destroy(history);
	history = history_create(fleet);
	send_calls(history, fleet, "outage", CALLS, FLEET_LINE_KEY);
	stats = wait_and_check(history, "store back");
	assert_int_equal(stats.outcome_unknown, 0);
	history_destroy(history);
}

/* Starts a call to a service with a timeout of 600 ms; the caller destroys it. */
static call_t *brief_call_start(fleet_t *fleet, unsigned int entry, const char *key)
{
	return call_start(fleet, fleet->entries[entry].port, "POST",
			  "/v1/services/brief-call/calls", "brief-key", key,
			  NULL, "{}");
}

/*
 * Lists a VM whose port refuses connections. Returns the socket bound to the port,
 * which keeps others from listening there; the caller closes it.
 */
static uv_tcp_t *list_refusing_vm(fleet_t *fleet)
{
	uv_tcp_t *tcp = g_new0(uv_tcp_t, 1);
	struct sockaddr_in addr;
	int len = sizeof(addr);
	char item[256];

	uv_tcp_init(fleet->loop, tcp);
	uv_ip4_addr("127.0.0.1", 0, &addr);
	assert_int_equal(uv_tcp_bind(tcp, (const struct sockaddr *)&addr, 0), 0);
	assert_int_equal(uv_tcp_getsockname(tcp, (struct sockaddr *)&addr, &len),
			 0);
	snprintf(item, sizeof(item),
		 "{\"id\":\"deaf\",\"zone\":\"zone-a\",\"address\":\"127.0.0."
		 "1\","
		 "\"port\":%d,\"role\":\"service\",\"state\":\"live\","
		 "\"serves\":\"brief-call\",\"slots\":64}",
		 ntohs(addr.sin_port));
	fleet_post(fleet, fleet->platform.port, "/standin/vms", item);
	return tcp;
}

/*
 * An upstream no longer listens, but is still in the VM list. The entry sent no byte,
 * so calls must get "not-run" however many attempts were made.
 */
static void test_upstream_refuses_connections(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	uv_tcp_t *refusing = list_refusing_vm(fleet);
	history_stats_t stats;
	char key[64];

	for (unsigned int i = 0; i < CALLS; i++) {
		snprintf(key, sizeof(key), "deaf-%u", i);
		history_add_station_call(history,
					 brief_call_start(fleet, i % ENTRIES, key),
					 key);
	}
	stats = wait_and_check(history, "connection refused");
	assert_int_equal(stats.not_run, CALLS);
	uv_close((uv_handle_t *)refusing, NULL);
	history_destroy(history);
}

static void refuse_connections(fleet_t *fleet, bool refuse)
{
	for (unsigned int i = 0; i < SERVICES; i++)
		forwarder_refuse(fleet->services[i].forwarder, refuse);
}

/*
 * Upstreams accept connections and close them at once. The entry can't know whether
 * the request was sent, so the outcome is unknown and it must not be sent again.
 */
static void test_upstream_closes_connections(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	history_stats_t stats;

	refuse_connections(fleet, true);
	send_calls(history, fleet, "closed", CALLS, FLEET_LINE_KEY);
	stats = wait_and_check(history, "closed at once");
	refuse_connections(fleet, false);
	assert_int_equal(stats.answered, 0);
	history_destroy(history);
}

static void cut_after(fleet_t *fleet, size_t bytes)
{
	for (unsigned int i = 0; i < SERVICES; i++)
		forwarder_cut_after(fleet->services[i].forwarder, bytes);
}

/*
 * The connection breaks within the request's head. The entry can't know how much was
 * received, so the outcome is unknown and the request must not be sent again.
 */
static void test_cut_in_the_head(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	history_stats_t stats;

	cut_after(fleet, PARTIAL_HEAD_BYTES);
	send_calls(history, fleet, "head", CALLS, FLEET_LINE_KEY);
	stats = wait_and_check(history, "cut in the head");
	cut_after(fleet, 0);
	assert_int_equal(stats.answered, 0);
	history_destroy(history);
}

/*
 * The service runs the call and the connection breaks before the answer. After a
 * "not-run" the terminal would retry and the call would run twice.
 */
static void test_cut_before_the_answer(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	history_stats_t stats;

	for (unsigned int i = 0; i < SERVICES; i++)
		forwarder_cut_answers(fleet->services[i].forwarder, true);
	send_calls(history, fleet, "answer", CALLS, FLEET_LINE_KEY);
	stats = wait_and_check(history, "cut before the answer");
	for (unsigned int i = 0; i < SERVICES; i++)
		forwarder_cut_answers(fleet->services[i].forwarder, false);
	assert_int_equal(stats.answered, 0);
	history_destroy(history);
}

/* Connections break while the service runs calls that it received completely. */
static void test_cut_while_it_runs(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	progress_t progress = { fleet, CALLS };
	history_stats_t stats;

	set_services(fleet, "{\"work_ms\":2000}");
	send_calls(history, fleet, "body", CALLS, FLEET_LINE_KEY);
	fleet_wait(fleet, services_are_running, &progress, "all calls to run");
	for (unsigned int i = 0; i < SERVICES; i++)
		forwarder_cut(fleet->services[i].forwarder);
	stats = wait_and_check(history, "cut after the body");
	set_services(fleet, "{\"work_ms\":20}");
	assert_int_equal(stats.outcome_unknown, CALLS);
	assert_int_equal(stats.unknown_but_not_run, 0);
	history_destroy(history);
}

typedef struct key_wait {
	fleet_t *fleet;
	const char *key;
} key_wait_t;

/*
 * Retries a key that never ran; returns true if it gets "not-run", as no upstream is
 * usable. While its old claim is held, a retry gets outcome-unknown.
 */
static bool key_is_free(void *ctx)
{
	const key_wait_t *wait = ctx;
	call_t *call = brief_call_start(wait->fleet, 1, wait->key);
	char problem[64];
	bool is_free;

	call_wait(call);
	call_problem(call, problem, sizeof(problem));
	is_free = !strcmp(problem, "not-run");
	call_destroy(call);
	return is_free;
}

/*
 * A call's deadline passes while its claim is being written to a slow store. It gets
 * "not-run", and the claim must be released when the store replies; otherwise every
 * retry would get outcome-unknown.
 */
static void test_deadline_passes_while_claiming(void **state)
{
	fleet_t *fleet = *state;
	key_wait_t wait = { fleet, "brief-1" };
	call_t *call;
	char problem[64];

	set_store(fleet, "{\"late_answers_ms\":1500}");
	call = brief_call_start(fleet, 0, wait.key);
	call_wait(call);
	assert_string_equal(call_problem(call, problem, sizeof(problem)),
			    "not-run");
	call_destroy(call);
	set_store(fleet, "{}");
	fleet_wait(fleet, key_is_free, &wait, "the key to be free");
}

/* An entry is stopped with SIGTERM while calls arrive. All must be answered. */
static void test_entry_drains(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	history_stats_t stats;

	send_calls(history, fleet, "drain", CALLS, FLEET_LINE_KEY);
	process_signal(fleet->entries[1].process, SIGTERM);
	stats = wait_and_check(history, "drain");
	assert_int_equal(stats.answered, CALLS);
	assert_int_equal(stats.outcome_unknown, 0);
	history_destroy(history);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_queue_is_full, clear_faults),
		cmocka_unit_test_setup(test_account_exceeds_its_limit, clear_faults),
		cmocka_unit_test_setup(test_store_is_down, clear_faults),
		cmocka_unit_test_setup(test_upstream_refuses_connections,
				       clear_faults),
		cmocka_unit_test_setup(test_upstream_closes_connections,
				       clear_faults),
		cmocka_unit_test_setup(test_cut_in_the_head, clear_faults),
		cmocka_unit_test_setup(test_cut_before_the_answer, clear_faults),
		cmocka_unit_test_setup(test_cut_while_it_runs, clear_faults),
		cmocka_unit_test_setup(test_deadline_passes_while_claiming,
				       clear_faults),
		cmocka_unit_test_setup(test_entry_drains, clear_faults),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
