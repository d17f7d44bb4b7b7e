/* Tests that only complete events are sent, however the stream is split. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/forward/event_stream.h"

static const char three[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
			    "data: c\nid: 3\n\n";

/*
 * Guards against events that are lost or changed where the network splits a
 * stream.
 */
static void test_any_split_gives_the_same_events(void **state)
{
	size_t len = sizeof(three) - 1;

	(void)state;
	for (size_t cut = 0; cut <= len; cut++) {
		event_stream_t *stream = event_stream_create(NULL);

		event_stream_feed(stream, three, cut);
		event_stream_feed(stream, three + cut, len - cut);
		assert_int_equal(stream->count, 3);
		assert_int_equal(stream->whole, len);
		assert_string_equal(stream->last_id, "3");
		assert_false(event_stream_has_partial(stream));
		event_stream_destroy(stream);
	}
}

/*
 * Guards against an incomplete event that is sent to the caller and joined with
 * the first event of the upstream that resumes.
 */
static void test_a_partial_event_is_not_sent(void **state)
{
	event_stream_t *stream = event_stream_create(NULL);

	(void)state;
	event_stream_feed(stream, "id: 1\ndata: a\n\nid: 2\ndata: b", 28);
	assert_int_equal(stream->whole, 15);
	assert_string_equal(stream->last_id, "1");
	assert_true(event_stream_has_partial(stream));
	event_stream_discard_complete(stream);
	event_stream_discard_partial(stream);
	assert_false(event_stream_has_partial(stream));
	event_stream_feed(stream, "id: 2\ndata: b\n\n", 15);
	assert_string_equal(stream->last_id, "2");
	assert_int_equal(stream->whole, 15);
	event_stream_destroy(stream);
}

/* Guards against events that come twice as an upstream begins before the last one. */
static void test_an_event_that_does_not_follow_is_not_sent(void **state)
{
	event_stream_t *stream = event_stream_create("9");

	(void)state;
	assert_int_equal(event_stream_feed(stream,
					   "id: 10\n\n: c\n\nid: 10\n\n", 22),
			 2);
	assert_true(stream->out_of_order);
	assert_int_equal(stream->whole, 13);
	event_stream_discard_complete(stream);
	assert_int_equal(event_stream_feed(stream, "id: 11\n\n", 8), 0);
	event_stream_discard_partial(stream);
	assert_false(stream->out_of_order);
	assert_int_equal(event_stream_feed(stream, "id: 9\n\n", 7), 0);
	event_stream_discard_partial(stream);
	assert_int_equal(event_stream_feed(stream, "id: 11\n\n", 8), 1);
	assert_string_equal(stream->last_id, "11");
	event_stream_destroy(stream);
}

/* Guards against events that come twice as the last one has no id to go on after. */
static void test_events_without_ids_are_not_resumable(void **state)
{
	event_stream_t *stream = event_stream_create(NULL);

	(void)state;
	event_stream_feed(stream, ": c\n\n", 5);
	assert_true(stream->resumable);
	event_stream_feed(stream, "data: a\n\n", 9);
	assert_false(stream->resumable);
	event_stream_feed(stream, ": c\n\n", 5);
	assert_false(stream->resumable);
	event_stream_feed(stream, "id: 2\ndata: b\n\n", 15);
	assert_true(stream->resumable);
	event_stream_feed(stream, "data: c\n\n", 9);
	assert_false(stream->resumable);
	event_stream_destroy(stream);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_any_split_gives_the_same_events),
		cmocka_unit_test(test_a_partial_event_is_not_sent),
		cmocka_unit_test(test_an_event_that_does_not_follow_is_not_sent),
		cmocka_unit_test(test_events_without_ids_are_not_resumable),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
