/*
 * Repeats one operation, so that its instructions can be counted: unlike times,
 * these are reproducible on a busy machine. The difference of two runs with
 * different counts, divided by the difference of the counts, is the cost of one
 * operation.
 *
 *   valgrind --tool=callgrind bench_cost route UPSTREAMS COUNT
 *   (likewise: token, queued UPSTREAMS COUNT; heartbeat MEMBERS COUNT)
 *
 * Without arguments it prints the memory per open stream in bytes, as CSV.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/entry_state.h"
#include "core/queue.h"
#include "tests/harness/drive.h"

#define SLOTS_PER_VM 64
#define STREAM_COUNT 1000
#define QUEUED_REQUESTS 200

/* Starts a stream and returns its attempt, or 0 if it was not dispatched. */
static attempt_id_t start_stream(drive_t *drive)
{
	action_t *action;
	attempt_id_t attempt;

	drive_request(drive, TARGET_MODEL, "m", NULL);
	action = drive_take(drive, ACTION_DISPATCH);
	attempt = action ? action->dispatch.attempt : 0;
	action_destroy(action);
	drive_clear(drive);
	return attempt;
}

/*
 * Repeats only the choice of an upstream, for a prompt whose prefix three
 * engines have cached.
 */
static void run_route(drive_t *drive, unsigned int count)
{
	target_t target = { .kind = TARGET_MODEL, .name = (char *)"m" };
	route_query_t query = { .target = &target,
				.priority = PRIORITY_NORMAL,
				.prefix = 7,
				.cache = drive->entry->prefixes,
				.rand = drive->entry->rand,
				.sender_count = 6,
				.now = drive->now };

	for (unsigned int i = 1; i <= 3; i++) {
		char *id = g_strdup_printf("m-%u", i);

		prefix_cache_record_send(drive->entry->prefixes, id, 7, drive->now);
		g_free(id);
	}
	for (unsigned int i = 0; i < count; i++) {
		route_choice_t choice;

		route_choose(drive->entry->upstreams, &query, &choice);
		route_choice_clear(&choice);
	}
}

/* Handles COUNT tokens of one stream. */
static void run_token(drive_t *drive, unsigned int count)
{
	attempt_id_t attempt = start_stream(drive);

	for (unsigned int i = 0; i < count; i++) {
		drive_upstream(drive, UPSTREAM_TOKEN, attempt, i, true);
		drive_clear(drive);
	}
}

/*
 * Handles COUNT tokens while many requests wait. These are urgent, as urgent
 * requests are always queued.
 */
static void run_queued(drive_t *drive, unsigned int count)
{
	attempt_id_t attempt = start_stream(drive);

	while (drive->entry->queued[PRIORITY_URGENT] < QUEUED_REQUESTS)
		drive_urgent_request(drive, "m");
	drive_clear(drive);
	for (unsigned int i = 0; i < count; i++) {
		drive_upstream(drive, UPSTREAM_TOKEN, attempt, i, true);
		drive_clear(drive);
	}
}

/* Handles COUNT pings from the other members. */
static void run_heartbeat(unsigned int entries, unsigned int count)
{
	drive_t *drive = drive_create("entry-0", "zone-a", 7);
	member_info_t *infos = g_new0(member_info_t, entries);
	event_t event = { .kind = EVENT_PEER_SEEDS };

	for (unsigned int i = 0; i < entries; i++) {
		infos[i].id = g_strdup_printf("entry-%u", i);
		infos[i].zone = g_strdup("zone-a");
		infos[i].address = g_strdup("127.0.0.1");
		infos[i].incarnation = 1;
	}
	event.seeds.members = infos;
	event.seeds.count = entries;
	drive_event(drive, &event);
	for (unsigned int i = 0; entries > 1 && i < count; i++) {
		peer_msg_t *msg = peer_msg_create(PEER_PING);
		event_t ping = { .kind = EVENT_PEER_MSG, .peer = msg };

		member_info_copy(&msg->from, &infos[1 + i % (entries - 1)]);
		msg->demand_count = 1;
		msg->demand[0].account = g_strdup("a");
		msg->demand[0].per_second = 5;
		drive_event(drive, &ping);
		peer_msg_destroy(msg);
		drive_clear(drive);
	}
	for (unsigned int i = 0; i < entries; i++)
		member_info_clear(&infos[i]);
	g_free(infos);
	drive_destroy(drive);
}

/* Prints the heap memory per open stream. */
static void print_memory(void)
{
	drive_t *drive = drive_create("entry-1", "zone-a", 7);
	struct mallinfo2 before;
	struct mallinfo2 after;

	drive_bundle(drive, 1);
	drive_vms(drive, 24, 0, SLOTS_PER_VM);
	drive_clear(drive);
	before = mallinfo2();
	for (unsigned int i = 0; i < STREAM_COUNT; i++)
		start_stream(drive);
	after = mallinfo2();
	printf("measure,streams,bytes_each\n");
	printf("open_stream,%u,%.0f\n", STREAM_COUNT,
	       (double)(after.uordblks - before.uordblks) / STREAM_COUNT);
	drive_destroy(drive);
}

int main(int argc, char **argv)
{
	unsigned int size = argc > 2 ? (unsigned int)atoi(argv[2]) : 0;
	unsigned int count = argc > 3 ? (unsigned int)atoi(argv[3]) : 0;
	drive_t *drive;

	if (argc < 4) {
		print_memory();
		return 0;
	}
	if (!strcmp(argv[1], "heartbeat")) {
		run_heartbeat(size, count);
		return 0;
	}
	drive = drive_create("entry-1", "zone-a", 7);
	drive_bundle(drive, 1);
	drive_vms(drive, size, 0, !strcmp(argv[1], "queued") ? 2 : SLOTS_PER_VM);
	drive_clear(drive);
	if (!strcmp(argv[1], "route"))
		run_route(drive, count);
	else if (!strcmp(argv[1], "token"))
		run_token(drive, count);
	else if (!strcmp(argv[1], "queued"))
		run_queued(drive, count);
	drive_destroy(drive);
	return 0;
}
