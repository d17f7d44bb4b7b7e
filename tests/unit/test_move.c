/*
 * Moves of streams from VMs that were told to leave: who stays, who goes first,
 * where to, and that accepted requests wait when there is nowhere to go.
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

/* Reports an engine's load, and its notice if LEAVES_IN is not 0. */
static void report(drive_t *drive, const char *vm_id, pd_time_t leaves_in,
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

static caller_id_t ask(drive_t *drive, size_t prompt_bytes, unsigned int tokens)
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

/* Reports that the engine holds the whole prompt of BODY_BYTES. */
static void report_holds(drive_t *drive, const char *vm_id)
{
	char *prompt = g_strnfill(BODY_BYTES, 'p');
	uint64_t hashes[BODY_BYTES / PREFIX_BLOCK_BYTES];
	size_t count =
		prefix_hashes(prompt, BODY_BYTES, hashes, G_N_ELEMENTS(hashes));
	cache_event_t news = { .prefix = hashes[count - 1], .held = true };

	report(drive, vm_id, 0, &news, 1);
	g_free(prompt);
}

static action_t *expect_dispatch(drive_t *drive)
{
	action_t *action = drive_take(drive, ACTION_DISPATCH);

	assert_non_null(action);
	return action;
}

static void start(drive_t *drive, const action_t *dispatch)
{
	drive_upstream(drive, UPSTREAM_STARTED, dispatch->dispatch.attempt, 0,
		       true);
	drive_upstream(drive, UPSTREAM_TOKEN, dispatch->dispatch.attempt,
		       dispatch->dispatch.offset, true);
}

/*
 * A VM has five seconds left and a stream on it ten tokens, half a second's
 * worth. Moving it would have its prompt computed twice for nothing.
 */
static void test_a_stream_that_ends_in_time_stays(void **state)
{
	drive_t *drive = *state;
	action_t *first;

	drive_vms(drive, 2, 0, 8);
	ask(drive, BODY_BYTES, 10);
	first = expect_dispatch(drive);
	start(drive, first);
	report(drive, first->dispatch.vm_id, 5 * PD_SEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	assert_int_equal(drive_count(drive, ACTION_CANCEL), 0);
	action_destroy(first);
}

/*
 * The second token of a short answer comes half a second late. At that pace it
 * would not end in time, but one gap says nothing of the others.
 */
static void test_one_late_token_moves_nobody(void **state)
{
	drive_t *drive = *state;
	action_t *first;

	drive_vms(drive, 2, 0, 8);
	ask(drive, BODY_BYTES, 20);
	first = expect_dispatch(drive);
	start(drive, first);
	drive_tick(drive, 500 * PD_MSEC);
	drive_upstream(drive, UPSTREAM_TOKEN, first->dispatch.attempt, 1, true);
	report(drive, first->dispatch.vm_id, 5 * PD_SEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	action_destroy(first);
}

/*
 * The stream will not end in time, so it goes on elsewhere while its engine can
 * still export its KV cache, and not only when the engine is gone.
 */
static void test_a_long_stream_moves_with_its_kv_cache(void **state)
{
	drive_t *drive = *state;
	action_t *first;
	action_t *second;

	drive_vms(drive, 2, 0, 8);
	ask(drive, BODY_BYTES, 10000);
	first = expect_dispatch(drive);
	start(drive, first);
	report(drive, first->dispatch.vm_id, 5 * PD_SEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	second = expect_dispatch(drive);
	assert_string_not_equal(first->dispatch.vm_id, second->dispatch.vm_id);
	assert_int_equal(second->dispatch.offset, 1);
	assert_non_null(second->dispatch.kv_address);
	action_destroy(first);
	action_destroy(second);
}

/*
 * With 50 ms left an export would be cut off half way, so the stream resumes
 * from prompt and text instead.
 */
static void test_no_export_without_time_for_it(void **state)
{
	drive_t *drive = *state;
	action_t *first;
	action_t *second;

	drive_vms(drive, 2, 0, 8);
	ask(drive, BODY_BYTES, 10000);
	first = expect_dispatch(drive);
	start(drive, first);
	report(drive, first->dispatch.vm_id, 50 * PD_MSEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	second = expect_dispatch(drive);
	assert_null(second->dispatch.kv_address);
	action_destroy(first);
	action_destroy(second);
}

/*
 * Three engines could take the stream and one holds its prompt. Going elsewhere
 * would compute a thousand tokens again while the caller waits.
 */
static void test_a_move_goes_to_the_cached_prefix(void **state)
{
	drive_t *drive = *state;
	action_t *first;
	action_t *second;
	const char *holder;

	drive_vms(drive, 4, 0, 8);
	ask(drive, BODY_BYTES, 10000);
	first = expect_dispatch(drive);
	start(drive, first);
	holder = strcmp(first->dispatch.vm_id, "m-3") ? "m-3" : "m-2";
	report_holds(drive, holder);
	report(drive, first->dispatch.vm_id, 50 * PD_MSEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	second = expect_dispatch(drive);
	assert_string_equal(second->dispatch.vm_id, holder);
	action_destroy(first);
	action_destroy(second);
}

/*
 * Three streams with one document must leave, and one engine holds it. The third
 * goes on where it is for the moment that the engine needs for the first two;
 * sent to an idle engine at once, it would compute the whole document again.
 */
static void test_a_move_waits_for_the_cached_prefix(void **state)
{
	drive_t *drive = *state;
	action_t *action;

	drive_vms(drive, 1, 0, 8);
	for (int i = 0; i < 3; i++) {
		ask(drive, BODY_BYTES, 10000);
		action = expect_dispatch(drive);
		start(drive, action);
		action_destroy(action);
	}
	drive_vms(drive, 3, 0, 8);
	report_holds(drive, "m-2");
	report(drive, "m-1", 90 * PD_MSEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 2);
	action = expect_dispatch(drive);
	assert_string_equal(action->dispatch.vm_id, "m-2");
	start(drive, action);
	action_destroy(action);
	drive_clear(drive);
	drive_tick(drive, 20 * PD_MSEC);
	action = expect_dispatch(drive);
	assert_string_equal(action->dispatch.vm_id, "m-2");
	action_destroy(action);
}

/*
 * Eight streams must leave one VM and one engine is left. If all were sent at
 * once each would wait for the prefill of seven others; the one that has most
 * computed already goes first, and the others go on until it is their turn.
 */
static void test_moves_are_paced_most_to_lose_first(void **state)
{
	drive_t *drive = *state;
	size_t largest = 0;
	action_t *action;

	drive_vms(drive, 1, 0, 16);
	for (size_t i = 1; i <= 8; i++) {
		ask(drive, i * 1024, 10000);
		action = expect_dispatch(drive);
		start(drive, action);
		largest = MAX(largest, i * 1024);
		action_destroy(action);
	}
	drive_vms(drive, 2, 0, 16);
	report(drive, "m-1", 10 * PD_SEC, NULL, 0);
	drive_tick(drive, 20 * PD_MSEC);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 2);
	action = expect_dispatch(drive);
	assert_int_equal(g_bytes_get_size(action->dispatch.body), largest);
	start(drive, action);
	action_destroy(action);
	drive_clear(drive);
	drive_tick(drive, 20 * PD_MSEC);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 1);
}

/*
 * The whole zone goes and no replacement starts. The caller was accepted, so it
 * waits; when an engine turns up at last the answer goes on where it was.
 */
static void test_an_accepted_stream_waits_for_an_upstream(void **state)
{
	drive_t *drive = *state;
	action_t *action;

	drive_vms(drive, 1, 0, 8);
	ask(drive, BODY_BYTES, 10000);
	action = expect_dispatch(drive);
	start(drive, action);
	report(drive, "m-1", 2 * PD_SEC, NULL, 0);
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
 * In a wave the engines that remain are full and refuse what entries send them
 * by an old report. A request that counts such refusals as failures is failed
 * within milliseconds though engines come free a moment later.
 */
static void test_refusals_by_busy_engines_fail_nobody(void **state)
{
	drive_t *drive = *state;
	unsigned int tries = 0;

	drive_vms(drive, 2, 0, 8);
	ask(drive, BODY_BYTES, 100);
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
 * A zone dies without a word and hundreds of streams break at once, more than
 * the retry budget has. They were accepted, so they go on later, spread out.
 */
static void test_streams_beyond_the_retry_budget_wait(void **state)
{
	drive_t *drive = *state;
	GArray *attempts = g_array_new(FALSE, FALSE, sizeof(attempt_id_t));
	action_t *action;
	unsigned int at_once;
	unsigned int resumed = 0;

	drive_vms(drive, 2, 0, 200);
	for (int i = 0; i < 150; i++) {
		ask(drive, 64, 100);
		action = expect_dispatch(drive);
		start(drive, action);
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
			start(drive, action);
			/* Ends it, or its silence would move it again. */
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
 * One of two engines that are left refuses every attempt; idle as it is it looks
 * the better one. A stream must not go back and forth but try the other.
 */
static void test_an_engine_that_failed_is_tried_last(void **state)
{
	drive_t *drive = *state;
	action_t *action;

	drive_vms(drive, 3, 0, 8);
	ask(drive, BODY_BYTES, 100);
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
 * A long prompt takes an engine ten seconds to set up, and nothing is heard
 * meanwhile. Taken for a silent connection it would be sent again and again,
 * and never answered.
 */
static void test_a_long_setup_is_not_silence(void **state)
{
	drive_t *drive = *state;
	action_t *action;

	drive_vms(drive, 2, 0, 8);
	ask(drive, 200000, 100);
	action = expect_dispatch(drive);
	drive_tick(drive, 10 * PD_SEC);
	assert_int_equal(drive_count(drive, ACTION_CANCEL), 0);
	action_destroy(action);
}

/* Tokens that a resumed attempt computes anew are counted, a first one's not. */
static void test_recomputed_tokens_are_counted(void **state)
{
	drive_t *drive = *state;
	event_t started = { .kind = EVENT_UPSTREAM,
			    .upstream = { .kind = UPSTREAM_STARTED,
					  .recomputed = 100 } };
	action_t *action;

	drive_vms(drive, 2, 0, 8);
	ask(drive, BODY_BYTES, 100);
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
 * A caller hangs up in the middle of its answer. Its engine must be told, and
 * the slot be free for another at once.
 */
static void test_a_hang_up_frees_the_slot(void **state)
{
	drive_t *drive = *state;
	event_t gone = { .kind = EVENT_CALLER_DISCONNECTED };
	action_t *action;

	drive_vms(drive, 1, 0, 1);
	gone.caller = ask(drive, 64, 100);
	action = expect_dispatch(drive);
	start(drive, action);
	/* Urgent, as other work would be refused for the wait ahead. */
	drive_urgent_request(drive, "m");
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	drive_event(drive, &gone);
	assert_int_equal(drive_count(drive, ACTION_CANCEL), 1);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 1);
	action_destroy(action);
}

#define MOVE_TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		MOVE_TEST(test_a_stream_that_ends_in_time_stays),
		MOVE_TEST(test_one_late_token_moves_nobody),
		MOVE_TEST(test_a_long_stream_moves_with_its_kv_cache),
		MOVE_TEST(test_no_export_without_time_for_it),
		MOVE_TEST(test_a_move_goes_to_the_cached_prefix),
		MOVE_TEST(test_a_move_waits_for_the_cached_prefix),
		MOVE_TEST(test_moves_are_paced_most_to_lose_first),
		MOVE_TEST(test_an_accepted_stream_waits_for_an_upstream),
		MOVE_TEST(test_refusals_by_busy_engines_fail_nobody),
		MOVE_TEST(test_streams_beyond_the_retry_budget_wait),
		MOVE_TEST(test_an_engine_that_failed_is_tried_last),
		MOVE_TEST(test_a_long_setup_is_not_silence),
		MOVE_TEST(test_recomputed_tokens_are_counted),
		MOVE_TEST(test_a_hang_up_frees_the_slot),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
