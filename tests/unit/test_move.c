/*
 * Moves of streams off leaving VMs: which ones stay, which move first, where
 * to, and that accepted requests wait when there is no target.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/prefix.h"
#include "tests/harness/drive.h"

#define BODY_BYTES 4096

static int setup(void **state)
{
	*state = drive_create("entry-1", "zone-a", 7);
	drive_bundle(*state, 1);
	return 0;
}

static int teardown(void **state)
{
	drive_destroy(*state);
	return 0;
}

/*
 * Sends an engine's load report, with a reclaim notice if LEAVES_IN is not 0.
 */
static void report_load(drive_t *drive, const char *vm_id, pd_time_t leaves_in,
			const cache_event_t *cache, size_t cache_count)
{
	event_t event = { .kind = EVENT_LOAD,
			  .load = { .vm_id = vm_id,
				    .answered = true,
				    .leaving = leaves_in > 0,
				    .leaves_in = leaves_in,
				    .cache = cache,
				    .cache_count = cache_count } };

	drive_event(drive, &event);
}

/* Sends a model request with a prompt of that size; returns the caller's id. */
static caller_id_t send_request(drive_t *drive, size_t prompt_bytes,
				unsigned int tokens)
{
	char *prompt = g_strnfill(prompt_bytes, 'p');
	GBytes *body = g_bytes_new_take(prompt, prompt_bytes);
	event_t event = { .kind = EVENT_REQUEST,
			  .request = { .caller = ++drive->next_caller,
				       .kind = TARGET_MODEL,
				       .key_hash = DRIVE_KEY_HASH,
				       .target = "m",
				       .path = "/",
				       .body = body,
				       .max_tokens = tokens } };

	drive_event(drive, &event);
	g_bytes_unref(body);
	return drive->next_caller;
}

/* Reports that the engine has the whole prompt of BODY_BYTES cached. */
static void report_cached_prompt(drive_t *drive, const char *vm_id)
{
	char *prompt = g_strnfill(BODY_BYTES, 'p');
	uint64_t hashes[BODY_BYTES / PREFIX_BLOCK_BYTES];
	size_t count =
		prefix_hashes(prompt, BODY_BYTES, hashes, G_N_ELEMENTS(hashes));
	cache_event_t event = { .prefix = hashes[count - 1], .held = true };

	report_load(drive, vm_id, 0, &event, 1);
	g_free(prompt);
}

/* Takes the next dispatch, owned by the caller. */
static action_t *expect_dispatch(drive_t *drive)
{
	action_t *action = drive_take(drive, ACTION_DISPATCH);

	assert_non_null(action);
	return action;
}

/* Starts a dispatched stream and sends its first token. */
static void start_stream(drive_t *drive, const action_t *dispatch)
{
	drive_upstream(drive, UPSTREAM_STARTED, dispatch->dispatch.attempt, 0,
		       true);
	drive_upstream(drive, UPSTREAM_TOKEN, dispatch->dispatch.attempt,
		       dispatch->dispatch.offset, true);
}

/*
 * A VM has five seconds left, and a stream on it needs half a second for its
 * ten tokens. If it were moved, its prompt would be computed twice for nothing.
 */
static void test_stream_that_finishes_in_time_stays(void **state)
{
	drive_t *drive = *state;
	action_t *first;

	drive_vms(drive, 2, 0, 8);
	send_request(drive, BODY_BYTES, 10);
	first = expect_dispatch(drive);
	start_stream(drive, first);
	report_load(drive, first->dispatch.vm_id, 5 * PD_SEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	assert_int_equal(drive_count(drive, ACTION_CANCEL), 0);
	action_destroy(first);
}

/*
 * The second token of a short answer is half a second late. At that rate the
 * answer would not finish in time, but one gap does not predict the others.
 */
static void test_single_late_token_causes_no_move(void **state)
{
	drive_t *drive = *state;
	action_t *first;

	drive_vms(drive, 2, 0, 8);
	send_request(drive, BODY_BYTES, 20);
	first = expect_dispatch(drive);
	start_stream(drive, first);
	drive_tick(drive, 500 * PD_MSEC);
	drive_upstream(drive, UPSTREAM_TOKEN, first->dispatch.attempt, 1, true);
	report_load(drive, first->dispatch.vm_id, 5 * PD_SEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	action_destroy(first);
}

/*
 * The stream will not finish in time, so it is moved while its engine can still
 * export its KV cache, not only when the engine is gone.
 */
static void test_long_stream_moves_with_its_kv_cache(void **state)
{
	drive_t *drive = *state;
	action_t *first;
	action_t *second;

	drive_vms(drive, 2, 0, 8);
	send_request(drive, BODY_BYTES, 10000);
	first = expect_dispatch(drive);
	start_stream(drive, first);
	report_load(drive, first->dispatch.vm_id, 5 * PD_SEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	second = expect_dispatch(drive);
	assert_string_not_equal(first->dispatch.vm_id, second->dispatch.vm_id);
	assert_int_equal(second->dispatch.offset, 1);
	assert_non_null(second->dispatch.kv_address);
	action_destroy(first);
	action_destroy(second);
}

/*
 * With 50 ms left an export would be cut off, so the stream resumes from prompt
 * and text instead.
 */
static void test_no_export_without_enough_time(void **state)
{
	drive_t *drive = *state;
	action_t *first;
	action_t *second;

	drive_vms(drive, 2, 0, 8);
	send_request(drive, BODY_BYTES, 10000);
	first = expect_dispatch(drive);
	start_stream(drive, first);
	report_load(drive, first->dispatch.vm_id, 50 * PD_MSEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	second = expect_dispatch(drive);
	assert_null(second->dispatch.kv_address);
	action_destroy(first);
	action_destroy(second);
}

/*
 * Three engines could take the stream and one has its prompt cached. Elsewhere
 * a thousand tokens would be computed again while the caller waits.
 */
static void test_move_prefers_cached_prefix(void **state)
{
	drive_t *drive = *state;
	action_t *first;
	action_t *second;
	const char *holder;

	drive_vms(drive, 4, 0, 8);
	send_request(drive, BODY_BYTES, 10000);
	first = expect_dispatch(drive);
	start_stream(drive, first);
	holder = strcmp(first->dispatch.vm_id, "m-3") ? "m-3" : "m-2";
	report_cached_prompt(drive, holder);
	report_load(drive, first->dispatch.vm_id, 50 * PD_MSEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	second = expect_dispatch(drive);
	assert_string_equal(second->dispatch.vm_id, holder);
	action_destroy(first);
	action_destroy(second);
}

/*
 * Three streams with the same document must leave, and one engine has it
 * cached. The third stream stays until that engine has started the first two;
 * sent to an idle engine at once, it would need the whole document computed
 * again.
 */
static void test_move_waits_for_cached_prefix(void **state)
{
	drive_t *drive = *state;
	action_t *action;

	drive_vms(drive, 1, 0, 8);
	for (int i = 0; i < 3; i++) {
		send_request(drive, BODY_BYTES, 10000);
		action = expect_dispatch(drive);
		start_stream(drive, action);
		action_destroy(action);
	}
	drive_vms(drive, 3, 0, 8);
	report_cached_prompt(drive, "m-2");
	report_load(drive, "m-1", 90 * PD_MSEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 2);
	action = expect_dispatch(drive);
	assert_string_equal(action->dispatch.vm_id, "m-2");
	start_stream(drive, action);
	action_destroy(action);
	drive_clear(drive);
	drive_tick(drive, 20 * PD_MSEC);
	action = expect_dispatch(drive);
	assert_string_equal(action->dispatch.vm_id, "m-2");
	action_destroy(action);
}

/*
 * Eight streams must leave one VM and one engine is left. If all were sent at
 * once, each would wait for the prefill of seven others. The stream with the
 * longest context goes first, and the others continue until it is their turn.
 */
static void test_moves_are_limited_longest_first(void **state)
{
	drive_t *drive = *state;
	size_t largest = 0;
	action_t *action;

	drive_vms(drive, 1, 0, 16);
	for (size_t i = 1; i <= 8; i++) {
		send_request(drive, i * 1024, 10000);
		action = expect_dispatch(drive);
		start_stream(drive, action);
		largest = MAX(largest, i * 1024);
		action_destroy(action);
	}
	drive_vms(drive, 2, 0, 16);
	report_load(drive, "m-1", 10 * PD_SEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 2);
	action = expect_dispatch(drive);
	assert_int_equal(g_bytes_get_size(action->dispatch.body), largest);
	start_stream(drive, action);
	action_destroy(action);
	drive_clear(drive);
	drive_tick(drive, 20 * PD_MSEC);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 1);
}

/*
 * The whole zone is reclaimed and no replacement starts. The request was
 * accepted, so it waits; when an engine appears, the answer continues where it
 * was.
 */
static void test_accepted_stream_waits_for_upstream(void **state)
{
	drive_t *drive = *state;
	action_t *action;

	drive_vms(drive, 1, 0, 8);
	send_request(drive, BODY_BYTES, 10000);
	action = expect_dispatch(drive);
	start_stream(drive, action);
	report_load(drive, "m-1", 2 * PD_SEC, NULL, 0);
	drive_tick(drive, 1 * PD_SEC);
	assert_int_equal(drive_count(drive, ACTION_CANCEL), 0);
	drive_upstream(drive, UPSTREAM_FAILED, action->dispatch.attempt, 0, true);
	action_destroy(action);
	drive_tick(drive, 5 * PD_SEC);
	assert_int_equal(drive_count(drive, ACTION_REFUSE), 0);
	drive_vms(drive, 2, 0, 8);
	action = expect_dispatch(drive);
	assert_string_equal(action->dispatch.vm_id, "m-2");
	assert_int_equal(action->dispatch.offset, 1);
	action_destroy(action);
}

/*
 * In a wave of reclaims the remaining engines are full and reject attempts that
 * entries send by an old report. If rejections counted as failures, the request
 * would fail within milliseconds, though slots are freed a moment later.
 */
static void test_rejections_by_busy_engines_fail_no_request(void **state)
{
	drive_t *drive = *state;
	unsigned int tries = 0;

	drive_vms(drive, 2, 0, 8);
	send_request(drive, BODY_BYTES, 100);
	for (int i = 0; i < 400; i++) {
		action_t *action = drive_take(drive, ACTION_DISPATCH);

		if (action) {
			drive_upstream(drive, UPSTREAM_REJECTED,
				       action->dispatch.attempt, 0, false);
			action_destroy(action);
			tries++;
		}
		drive_tick(drive, 20 * PD_MSEC);
	}
	assert_int_equal(drive_count(drive, ACTION_REFUSE), 0);
	assert_in_range(tries, 5, 30);
}

/*
 * A zone fails without notice and more streams break at once than the retry
 * budget allows. They were accepted, so they are resumed later, spread out.
 */
static void test_streams_beyond_retry_budget_are_delayed(void **state)
{
	drive_t *drive = *state;
	GArray *attempts = g_array_new(FALSE, FALSE, sizeof(attempt_id_t));
	action_t *action;
	unsigned int at_once;
	unsigned int resumed = 0;

	drive_vms(drive, 2, 0, 200);
	for (int i = 0; i < 150; i++) {
		send_request(drive, 64, 100);
		action = expect_dispatch(drive);
		start_stream(drive, action);
		g_array_append_val(attempts, action->dispatch.attempt);
		action_destroy(action);
	}
	for (guint i = 0; i < attempts->len; i++)
		drive_upstream(drive, UPSTREAM_FAILED,
			       g_array_index(attempts, attempt_id_t, i), 0, true);
	at_once = drive_count(drive, ACTION_DISPATCH);
	assert_in_range(at_once, 1, 4);
	for (int i = 0; i < 400; i++) {
		while ((action = drive_take(drive, ACTION_DISPATCH))) {
			start_stream(drive, action);
			/*
			 * Ends it; as a stalled stream it would be moved again.
			 */
			drive_upstream(drive, UPSTREAM_END,
				       action->dispatch.attempt, 0, true);
			action_destroy(action);
			resumed++;
		}
		drive_tick(drive, 20 * PD_MSEC);
	}
	assert_int_equal(resumed, 150);
	assert_int_equal(drive_count(drive, ACTION_REFUSE), 0);
	assert_int_equal(entry_in_flight(drive->entry), 0);
	g_array_unref(attempts);
}

/*
 * One of the two remaining engines fails all attempts; being idle it looks the
 * better one. A stream must try the other one instead of alternating.
 */
static void test_failed_engine_is_tried_last(void **state)
{
	drive_t *drive = *state;
	action_t *action;

	drive_vms(drive, 3, 0, 8);
	send_request(drive, BODY_BYTES, 100);
	action = expect_dispatch(drive);
	drive_upstream(drive, UPSTREAM_FAILED, action->dispatch.attempt, 0, false);
	action_destroy(action);
	action = expect_dispatch(drive);
	drive_upstream(drive, UPSTREAM_FAILED, action->dispatch.attempt, 0, true);
	action_destroy(action);
	action = expect_dispatch(drive);
	assert_string_equal(action->dispatch.vm_id, "m-3");
	action_destroy(action);
}

/*
 * An engine needs ten seconds for the prefill of a long prompt and sends
 * nothing meanwhile. Taken for a stalled connection, the request would be
 * resent again and again and never be answered.
 */
static void test_long_prefill_is_not_a_stall(void **state)
{
	drive_t *drive = *state;
	action_t *action;

	drive_vms(drive, 2, 0, 8);
	send_request(drive, 200000, 100);
	action = expect_dispatch(drive);
	drive_tick(drive, 10 * PD_SEC);
	assert_int_equal(drive_count(drive, ACTION_CANCEL), 0);
	action_destroy(action);
}

/*
 * Tokens that a resumed attempt recomputes are counted, those of a first one
 * are not.
 */
static void test_recomputed_tokens_are_counted(void **state)
{
	drive_t *drive = *state;
	event_t started = { .kind = EVENT_UPSTREAM,
			    .upstream = { .kind = UPSTREAM_STARTED,
					  .recomputed = 100 } };
	action_t *action;

	drive_vms(drive, 2, 0, 8);
	send_request(drive, BODY_BYTES, 100);
	action = expect_dispatch(drive);
	started.upstream.attempt = action->dispatch.attempt;
	drive_event(drive, &started);
	assert_int_equal(entry_recomputed_tokens(drive->entry), 0);
	drive_upstream(drive, UPSTREAM_FAILED, action->dispatch.attempt, 0, true);
	action_destroy(action);
	action = expect_dispatch(drive);
	started.upstream.attempt = action->dispatch.attempt;
	drive_event(drive, &started);
	drive_event(drive, &started);
	assert_int_equal(entry_recomputed_tokens(drive->entry), 100);
	action_destroy(action);
}

/*
 * A caller disconnects in the middle of its answer. Its attempt must be
 * cancelled, and the slot be free for another request at once.
 */
static void test_disconnect_frees_slot(void **state)
{
	drive_t *drive = *state;
	event_t disconnect = { .kind = EVENT_CALLER_DISCONNECTED };
	action_t *action;

	drive_vms(drive, 1, 0, 1);
	disconnect.caller = send_request(drive, 64, 100);
	action = expect_dispatch(drive);
	start_stream(drive, action);
	/* Urgent, as other requests would be refused for the predicted wait. */
	drive_urgent_request(drive, "m");
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	drive_event(drive, &disconnect);
	assert_int_equal(drive_count(drive, ACTION_CANCEL), 1);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 1);
	action_destroy(action);
}

#define MOVE_TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		MOVE_TEST(test_stream_that_finishes_in_time_stays),
		MOVE_TEST(test_single_late_token_causes_no_move),
		MOVE_TEST(test_long_stream_moves_with_its_kv_cache),
		MOVE_TEST(test_no_export_without_enough_time),
		MOVE_TEST(test_move_prefers_cached_prefix),
		MOVE_TEST(test_move_waits_for_cached_prefix),
		MOVE_TEST(test_moves_are_limited_longest_first),
		MOVE_TEST(test_accepted_stream_waits_for_upstream),
		MOVE_TEST(test_rejections_by_busy_engines_fail_no_request),
		MOVE_TEST(test_streams_beyond_retry_budget_are_delayed),
		MOVE_TEST(test_failed_engine_is_tried_last),
		MOVE_TEST(test_long_prefill_is_not_a_stall),
		MOVE_TEST(test_recomputed_tokens_are_counted),
		MOVE_TEST(test_disconnect_frees_slot),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
