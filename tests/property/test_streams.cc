/*
 * One entry's core under any behaviour of upstreams, callers and clocks: tokens
 * that are late, repeated, out of order or skipped, attempts that fail or
 * stall, refusals, notices, VMs that appear and disappear, time that jumps. A
 * caller must always get the tokens 0, 1, 2, ... and nothing else, and the end
 * of its request by its deadline.
 */
#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "tests/harness/drive.h"
}

#define TOKENS 8 /* requested by drive_request() */
#define STEPS 300
#define RECENT_ATTEMPTS 4
#define COVERAGE_MIN 200
#define VMS_MAX 4
#define SLOTS 3
#define DEADLINE (60 * PD_SEC)
#define NOTICE_MAX_MS 4000
#define ID_REUSE_DELAY (60 * PD_SEC)

namespace
{

/*
 * Returns a uniformly distributed value of MIN to MAX - 1. rapidcheck's own
 * ranges start small and grow with the number of tests, which would leave the
 * last alternatives of a choice untested.
 */
template <typename T> T pick(T min, T max)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, max));
}

/*
 * What all cases together have exercised; a property that exercises nothing
 * proves nothing.
 */
struct Coverage {
	unsigned int ends = 0;
	unsigned int resumes = 0;
	unsigned int refusals = 0;
} coverage;

/*
 * Returns the text of the token at OFFSET. Each offset has its own, so that
 * mixed-up tokens are detected.
 */
char text_at(uint64_t offset)
{
	return (char)('a' + offset);
}

/* Sends the token at OFFSET with the text of that offset. */
void send_token(drive_t *drive, attempt_id_t attempt, uint64_t offset)
{
	char text = text_at(offset);
	event_t event = {};

	event.kind = EVENT_UPSTREAM;
	event.upstream.kind = UPSTREAM_TOKEN;
	event.upstream.attempt = attempt;
	event.upstream.offset = offset;
	event.upstream.data = &text;
	event.upstream.len = 1;
	drive_event(drive, &event);
}

/*
 * What a test knows of one attempt; an upstream may continue it after it was
 * cancelled.
 */
struct Attempt {
	attempt_id_t id;
	uint64_t next;
};

/* What a caller has received. */
struct Caller {
	uint64_t tokens = 0;
	bool ended = false;
	bool gone = false;
	pd_time_t deadline = 0;
};

class Streams
{
      public:
	Streams() : drive(drive_create("entry-1", "zone-a", 7))
	{
		drive_bundle(drive, 1);
		list_vms(VMS_MAX);
	}

	~Streams()
	{
		drive_destroy(drive);
	}

	void step();
	void finish();

      private:
	void list_vms(unsigned int count);
	void send_request();
	void send_upstream_event();
	void send_next_token(Attempt &attempt);
	void send_notice();
	void disconnect_caller();
	void send_report();
	void handle_actions();
	void handle_action(const action_t *action);
	void tick(pd_time_t step);
	void check_deadlines();
	Caller &find_caller(const action_t *action);
	bool is_leaving(const char *vm_id) const;

	drive_t *drive;
	std::vector<Attempt> attempts;
	std::map<caller_id_t, Caller> callers;
	std::map<std::string, pd_time_t> leaving; /* when, by the latest notice */
};

/* Sends a list of COUNT engines. */
void Streams::list_vms(unsigned int count)
{
	drive_vms(drive, count, 0, SLOTS);
	handle_actions();
}

/* Sends a request of a new caller. */
void Streams::send_request()
{
	caller_id_t id = drive->next_caller + 1;

	callers[id].deadline = drive->now + DEADLINE;
	drive_request(drive, TARGET_MODEL, "m", NULL);
	handle_actions();
}

/* Sends the next token, or one that is repeated or too early. */
void Streams::send_next_token(Attempt &attempt)
{
	auto variation = pick(0, 12);
	uint64_t offset = attempt.next;

	if (variation == 0)
		offset = attempt.next + 1;
	else if (variation == 1 && attempt.next > 0)
		offset = attempt.next - 1;
	else
		attempt.next++;
	if (offset < TOKENS)
		send_token(drive, attempt.id, offset);
}

/* Sends an event of any attempt so far, including cancelled ones. */
void Streams::send_upstream_event()
{
	if (attempts.empty())
		return;
	/* Mostly of an attempt that may still run. */
	size_t first = pick(0, 4) && attempts.size() > RECENT_ATTEMPTS
			       ? attempts.size() - RECENT_ATTEMPTS
			       : 0;
	auto &attempt = attempts[pick<size_t>(first, attempts.size())];

	switch (pick(0, 40)) {
	case 0:
		drive_upstream(drive, UPSTREAM_FAILED, attempt.id, 0, true);
		break;
	case 1:
		drive_upstream(drive, UPSTREAM_FAILED, attempt.id, 0, false);
		break;
	case 2:
		drive_upstream(drive, UPSTREAM_REJECTED, attempt.id, 0, false);
		break;
	case 3:
		drive_upstream(drive, UPSTREAM_STARTED, attempt.id, 0, true);
		break;
	case 4:
		drive_upstream(drive, UPSTREAM_SENDING, attempt.id, 0, true);
		break;
	default:
		if (attempt.next < TOKENS)
			send_next_token(attempt);
		else
			drive_upstream(drive, UPSTREAM_END, attempt.id, 0, true);
	}
	handle_actions();
}

/* Sends the reclaim notice of a random engine. */
void Streams::send_notice()
{
	std::string id = "m-" + std::to_string(pick(1, VMS_MAX + 1));
	event_t event = {};

	event.kind = EVENT_LOAD;
	event.load.vm_id = id.c_str();
	event.load.answered = true;
	event.load.leaving = true;
	event.load.leaves_in = pick<pd_time_t>(0, NOTICE_MAX_MS) * PD_MSEC;
	leaving[id] = MAX(leaving[id], drive->now + event.load.leaves_in);
	drive_event(drive, &event);
	handle_actions();
}

/* Sends the load report, or the missed probe, of a random engine. */
void Streams::send_report()
{
	std::string id = "m-" + std::to_string(pick(1, VMS_MAX + 1));
	event_t event = {};

	event.kind = EVENT_LOAD;
	event.load.vm_id = id.c_str();
	event.load.answered = pick(0, 4) != 0;
	event.load.running = pick(0u, 2u * SLOTS);
	drive_event(drive, &event);
	handle_actions();
}

/* Disconnects a random caller. */
void Streams::disconnect_caller()
{
	if (callers.empty())
		return;
	event_t event = {};

	event.kind = EVENT_CALLER_DISCONNECTED;
	event.caller = pick<caller_id_t>(1, drive->next_caller + 1);
	callers[event.caller].gone = true;
	drive_event(drive, &event);
	handle_actions();
}

/*
 * Returns whether the VM must not get requests. An id may be reused when its VM
 * has been gone for long.
 */
bool Streams::is_leaving(const char *vm_id) const
{
	auto notice = leaving.find(vm_id);

	return notice != leaving.end() &&
	       drive->now < notice->second + ID_REUSE_DELAY;
}

/* Returns the caller of a reply, who must still be waiting for one. */
Caller &Streams::find_caller(const action_t *action)
{
	Caller &caller =
		callers[action->kind == ACTION_REFUSE ? action->refuse.caller
						      : action->reply.caller];

	RC_ASSERT(!caller.ended);
	RC_ASSERT(!caller.gone);
	return caller;
}

/* Checks one action of the entry. */
void Streams::handle_action(const action_t *action)
{
	switch (action->kind) {
	case ACTION_DISPATCH:
		RC_ASSERT(!is_leaving(action->dispatch.vm_id));
		RC_ASSERT(action->dispatch.offset <= TOKENS);
		coverage.resumes += action->dispatch.offset > 0;
		attempts.push_back(
			{ action->dispatch.attempt, action->dispatch.offset });
		break;
	case ACTION_TOKEN: {
		Caller &caller = find_caller(action);

		RC_ASSERT(action->reply.offset == caller.tokens);
		RC_ASSERT(action->reply.data[0] == text_at(caller.tokens));
		caller.tokens++;
		break;
	}
	case ACTION_END: {
		Caller &caller = find_caller(action);

		RC_ASSERT(caller.tokens == TOKENS);
		coverage.ends++;
		caller.ended = true;
		break;
	}
	case ACTION_REFUSE:
		find_caller(action).ended = true;
		coverage.refusals++;
		break;
	default:
		break;
	}
}

/* Checks and frees all actions of the entry. */
void Streams::handle_actions()
{
	LIST_FOR_EACH (it, &drive->actions)
		handle_action(LIST_ENTRY(it, action_t, node));
	drive_clear(drive);
}

/* Checks that no request has outlived its deadline. */
void Streams::check_deadlines()
{
	for (const auto &item : callers) {
		const Caller &caller = item.second;

		RC_ASSERT(caller.ended || caller.gone ||
			  drive->now < caller.deadline);
	}
}

/* Advances the clock by STEP and checks the deadlines. */
void Streams::tick(pd_time_t step)
{
	drive_tick(drive, step);
	handle_actions();
	check_deadlines();
}

/* Performs one random step. */
void Streams::step()
{
	switch (pick(0, 40)) {
	case 0:
	case 1:
	case 2:
		send_request();
		break;
	case 3:
		send_notice();
		break;
	case 4:
		disconnect_caller();
		break;
	case 5:
		list_vms(pick(0u, VMS_MAX + 1u));
		break;
	case 6:
		send_report();
		break;
	case 7:
	case 8:
	case 9:
		tick(pick<pd_time_t>(1, 4000) * PD_MSEC);
		break;
	default:
		send_upstream_event();
	}
}

/* No upstream sends anything more: all requests must end by their deadlines. */
void Streams::finish()
{
	for (int i = 0; i < 2 * DEADLINE / PD_SEC; i++)
		tick(1 * PD_SEC);
	RC_ASSERT(entry_in_flight(drive->entry) == 0);
}

bool check_streams()
{
	return rc::check("a caller gets its tokens in order, once, and an end", [] {
		Streams streams;

		for (int i = 0; i < STEPS; i++)
			streams.step();
		streams.finish();
	});
}

/*
 * Engines that are reclaimed one after the other while they serve a single
 * request.
 */
class Reclaims
{
      public:
	Reclaims() : drive(drive_create("entry-1", "zone-a", 7))
	{
		drive_bundle(drive, 1);
		drive_vms(drive, 1, 0, SLOTS);
		drive_request(drive, TARGET_MODEL, "m", NULL);
	}

	~Reclaims()
	{
		drive_destroy(drive);
	}

	void take_dispatch();
	void send_tokens(uint64_t count);
	void reclaim_vm(bool announced);
	void finish();

      private:
	drive_t *drive;
	unsigned int vms = 1;
	uint64_t next = 0;
	attempt_id_t attempt = 0;
	std::string vm;
};

/*
 * Takes the dispatch of the next attempt, which must resume where the last one
 * ended.
 */
void Reclaims::take_dispatch()
{
	action_t *action = drive_take(drive, ACTION_DISPATCH);

	RC_ASSERT(action != nullptr);
	RC_ASSERT(action->dispatch.offset == next);
	attempt = action->dispatch.attempt;
	vm = action->dispatch.vm_id;
	action_destroy(action);
}

/* Sends up to COUNT tokens of the current attempt. */
void Reclaims::send_tokens(uint64_t count)
{
	for (; count > 0 && next < TOKENS; count--)
		send_token(drive, attempt, next++);
}

/*
 * Reclaims the VM, with or without notice; its connection breaks or its attempt
 * is cancelled.
 */
void Reclaims::reclaim_vm(bool announced)
{
	event_t event = {};

	event.kind = EVENT_LOAD;
	event.load.vm_id = vm.c_str();
	event.load.answered = true;
	event.load.leaving = true;
	event.load.leaves_in = pick<pd_time_t>(0, 400) * PD_MSEC;
	if (announced)
		drive_event(drive, &event);
	if (!announced || pick(0, 2))
		drive_upstream(drive, UPSTREAM_FAILED, attempt, 0, true);
	drive_tick(drive, 500 * PD_MSEC);
	if (drive_count(drive, ACTION_DISPATCH) > 0)
		return;
	drive_vms(drive, ++vms, 0, SLOTS);
}

/* Completes the answer and checks that the caller got all of it. */
void Reclaims::finish()
{
	send_tokens(TOKENS);
	drive_upstream(drive, UPSTREAM_END, attempt, 0, true);
	RC_ASSERT(drive_count(drive, ACTION_TOKEN) == TOKENS);
	RC_ASSERT(drive_count(drive, ACTION_END) == 1);
	RC_ASSERT(drive_count(drive, ACTION_REFUSE) == 0);
}

bool check_reclaims()
{
	return rc::check("an accepted answer is whole after any reclaims", [] {
		Reclaims reclaims;
		auto count = pick(0, 20);
		int unannounced = 5; /* more failures of one request end it */

		reclaims.take_dispatch();
		for (int i = 0; i < count; i++) {
			bool announced = unannounced == 0 || pick(0, 2);

			unannounced -= !announced;
			reclaims.send_tokens(pick<uint64_t>(0, 3));
			reclaims.reclaim_vm(announced);
			reclaims.take_dispatch();
		}
		reclaims.finish();
	});
}

/* Prints the coverage and returns whether it is sufficient. */
bool coverage_is_sufficient()
{
	printf("met: %u whole answers, %u resumes, %u refusals\n",
	       coverage.ends, coverage.resumes, coverage.refusals);
	return coverage.ends >= COVERAGE_MIN && coverage.resumes >= COVERAGE_MIN &&
	       coverage.refusals >= COVERAGE_MIN;
}

} // namespace

int main()
{
	bool good = check_streams();

	good = check_reclaims() && good;
	return good && coverage_is_sufficient() ? 0 : 1;
}
