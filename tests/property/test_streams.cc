/*
 * One entry's core under anything that upstreams, callers and clocks may do:
 * tokens late, doubled, out of order or skipped, attempts that break or fall
 * silent, refusals, notices, VMs that come and go, time that jumps. Whatever
 * happens a caller gets the tokens 0, 1, 2, ... and nothing else, and hears the
 * end of its request by its deadline.
 */
#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "tests/harness/drive.h"
}

#define TOKENS 8 /* that drive_request() asks for */
#define STEPS 300
#define LATEST 4
#define MET_MIN 200
#define VMS_MAX 4
#define SLOTS 3
#define DEADLINE (60 * PD_SEC)
#define NOTICE_MAX_MS 4000
#define ID_REST (60 * PD_SEC)

namespace
{

/*
 * Any of MIN to MAX - 1, alike. rapidcheck's own ranges begin small and grow with
 * the number of tests, which would leave the later cases of a choice untried.
 */
template <typename T> T pick(T min, T max)
{
	return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, max));
}

/* What all tests together have met; a property that meets none shows nothing. */
struct Met {
	unsigned int ends = 0;
	unsigned int resumes = 0;
	unsigned int refusals = 0;
} met;

/* Each place in the answer has a text of its own, so that a mix-up shows. */
char text_at(uint64_t offset)
{
	return (char)('a' + offset);
}

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

/* What a test knows of one attempt; an upstream may go on after it was left. */
struct Attempt {
	attempt_id_t id;
	uint64_t next;
};

/* What a caller has heard. */
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
		list(VMS_MAX);
	}

	~Streams()
	{
		drive_destroy(drive);
	}

	void step();
	void finish();

      private:
	void list(unsigned int count);
	void ask();
	void upstream();
	void token(Attempt &attempt);
	void notice();
	void hang_up();
	void report();
	void take_actions();
	void take(const action_t *action);
	void tick(pd_time_t step);
	void check_deadlines();
	Caller &caller_of(const action_t *action);
	bool is_leaving(const char *vm_id) const;

	drive_t *drive;
	std::vector<Attempt> attempts;
	std::map<caller_id_t, Caller> callers;
	std::map<std::string, pd_time_t> leaving; /* when, by the latest notice */
};

void Streams::list(unsigned int count)
{
	drive_vms(drive, count, 0, SLOTS);
	take_actions();
}

void Streams::ask()
{
	caller_id_t id = drive->next_caller + 1;

	callers[id].deadline = drive->now + DEADLINE;
	drive_request(drive, TARGET_MODEL, "m", NULL);
	take_actions();
}

/* A token in its place, or one that comes again or too early. */
void Streams::token(Attempt &attempt)
{
	auto how = pick(0, 12);
	uint64_t offset = attempt.next;

	if (how == 0)
		offset = attempt.next + 1;
	else if (how == 1 && attempt.next > 0)
		offset = attempt.next - 1;
	else
		attempt.next++;
	if (offset < TOKENS)
		send_token(drive, attempt.id, offset);
}

/* Something of any attempt that ever was, also of one that was left. */
void Streams::upstream()
{
	if (attempts.empty())
		return;
	/* Mostly of one that may still run. */
	size_t first = pick(0, 4) && attempts.size() > LATEST
			       ? attempts.size() - LATEST
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
			token(attempt);
		else
			drive_upstream(drive, UPSTREAM_END, attempt.id, 0, true);
	}
	take_actions();
}

void Streams::notice()
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
	take_actions();
}

void Streams::report()
{
	std::string id = "m-" + std::to_string(pick(1, VMS_MAX + 1));
	event_t event = {};

	event.kind = EVENT_LOAD;
	event.load.vm_id = id.c_str();
	event.load.answered = pick(0, 4) != 0;
	event.load.running = pick(0u, 2u * SLOTS);
	drive_event(drive, &event);
	take_actions();
}

void Streams::hang_up()
{
	if (callers.empty())
		return;
	event_t event = {};

	event.kind = EVENT_CALLER_DISCONNECTED;
	event.caller = pick<caller_id_t>(1, drive->next_caller + 1);
	callers[event.caller].gone = true;
	drive_event(drive, &event);
	take_actions();
}

/* An id may be given to a new VM when its old one has been gone for long. */
bool Streams::is_leaving(const char *vm_id) const
{
	auto notice = leaving.find(vm_id);

	return notice != leaving.end() && drive->now < notice->second + ID_REST;
}

Caller &Streams::caller_of(const action_t *action)
{
	Caller &caller =
		callers[action->kind == ACTION_REFUSE ? action->refuse.caller
						      : action->reply.caller];

	RC_ASSERT(!caller.ended);
	RC_ASSERT(!caller.gone);
	return caller;
}

void Streams::take(const action_t *action)
{
	switch (action->kind) {
	case ACTION_DISPATCH:
		RC_ASSERT(!is_leaving(action->dispatch.vm_id));
		RC_ASSERT(action->dispatch.offset <= TOKENS);
		met.resumes += action->dispatch.offset > 0;
		attempts.push_back(
			{ action->dispatch.attempt, action->dispatch.offset });
		break;
	case ACTION_TOKEN: {
		Caller &caller = caller_of(action);

		RC_ASSERT(action->reply.offset == caller.tokens);
		RC_ASSERT(action->reply.data[0] == text_at(caller.tokens));
		caller.tokens++;
		break;
	}
	case ACTION_END: {
		Caller &caller = caller_of(action);

		RC_ASSERT(caller.tokens == TOKENS);
		met.ends++;
		caller.ended = true;
		break;
	}
	case ACTION_REFUSE:
		caller_of(action).ended = true;
		met.refusals++;
		break;
	default:
		break;
	}
}

void Streams::take_actions()
{
	LIST_FOR_EACH (it, &drive->actions)
		take(LIST_ENTRY(it, action_t, node));
	drive_clear(drive);
}

void Streams::check_deadlines()
{
	for (const auto &item : callers) {
		const Caller &caller = item.second;

		RC_ASSERT(caller.ended || caller.gone ||
			  drive->now < caller.deadline);
	}
}

void Streams::tick(pd_time_t step)
{
	drive_tick(drive, step);
	take_actions();
	check_deadlines();
}

void Streams::step()
{
	switch (pick(0, 40)) {
	case 0:
	case 1:
	case 2:
		ask();
		break;
	case 3:
		notice();
		break;
	case 4:
		hang_up();
		break;
	case 5:
		list(pick(0u, VMS_MAX + 1u));
		break;
	case 6:
		report();
		break;
	case 7:
	case 8:
	case 9:
		tick(pick<pd_time_t>(1, 4000) * PD_MSEC);
		break;
	default:
		upstream();
	}
}

/* Nothing more is heard of any upstream: all must end by their deadlines. */
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

/* Engines that are reclaimed one after the other under a single request. */
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
	void tokens(uint64_t count);
	void reclaim(bool announced);
	void finish();

      private:
	drive_t *drive;
	unsigned int vms = 1;
	uint64_t next = 0;
	attempt_id_t attempt = 0;
	std::string vm;
};

void Reclaims::take_dispatch()
{
	action_t *action = drive_take(drive, ACTION_DISPATCH);

	RC_ASSERT(action != nullptr);
	RC_ASSERT(action->dispatch.offset == next);
	attempt = action->dispatch.attempt;
	vm = action->dispatch.vm_id;
	action_destroy(action);
}

void Reclaims::tokens(uint64_t count)
{
	for (; count > 0 && next < TOKENS; count--)
		send_token(drive, attempt, next++);
}

/* The VM goes, said before or not, and its connection breaks or is left. */
void Reclaims::reclaim(bool announced)
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

void Reclaims::finish()
{
	tokens(TOKENS);
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
		int unannounced = 5; /* more in one request means it does harm */

		reclaims.take_dispatch();
		for (int i = 0; i < count; i++) {
			bool announced = unannounced == 0 || pick(0, 2);

			unannounced -= !announced;
			reclaims.tokens(pick<uint64_t>(0, 3));
			reclaims.reclaim(announced);
			reclaims.take_dispatch();
		}
		reclaims.finish();
	});
}

bool has_met_enough()
{
	printf("met: %u whole answers, %u resumes, %u refusals\n", met.ends,
	       met.resumes, met.refusals);
	return met.ends >= MET_MIN && met.resumes >= MET_MIN &&
	       met.refusals >= MET_MIN;
}

} // namespace

int main()
{
	bool good = check_streams();

	good = check_reclaims() && good;
	return good && has_met_enough() ? 0 : 1;
}
