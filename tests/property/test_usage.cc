/*
 * The record of usage over entries that count, tell whoever keeps the record, are
 * killed alone or all at once, and take turns at keeping it. The record never has
 * a request that was not counted, and lacks only what had not been written when
 * somebody was killed.
 */
#include <rapidcheck.h>

#include <cstdlib>
#include <memory>
#include <vector>

extern "C" {
#include "core/forward/usage.h"
}

static const int64_t window = 7;
static const char *const account = "mill";

struct entry {
	entry() : usage(usage_create(), usage_destroy)
	{
	}

	std::unique_ptr<usage_t, void (*)(usage_t *)> usage;
	unsigned start = 0;
	uint64_t revision = 0; /* of the record, as it knows it */
	size_t keeper = SIZE_MAX; /* whom it tells */
	unsigned keeper_start = 0;
};

struct world {
	std::vector<entry> entries;
	uint64_t truth = 0;
	uint64_t unwritten = 0; /* counted since the last write */
	uint64_t lost = 0; /* may be missing, for somebody was killed */
	uint64_t record = 0;
	uint64_t revision = 0;
};

struct telling {
	world *all;
	size_t from;
	size_t to;
};

static void keep(void *ctx, const usage_entry_t *counted)
{
	auto *told = static_cast<telling *>(ctx);
	std::string who = std::to_string(told->from) + "#" +
			  std::to_string(told->all->entries[told->from].start);

	usage_keep(told->all->entries[told->to].usage.get(), who.c_str(), counted);
}

/* FROM tells its counts to who keeps the record, and hears that it has them. */
static void tell(world &all, size_t from, size_t keeper)
{
	entry &teller = all.entries[from];
	telling told = { &all, from, keeper };

	if (from == keeper) {
		teller.keeper = SIZE_MAX;
		return;
	}
	if (teller.keeper != keeper ||
	    teller.keeper_start != all.entries[keeper].start) {
		usage_other_keeper(teller.usage.get());
		teller.keeper = keeper;
		teller.keeper_start = all.entries[keeper].start;
	}
	usage_each_news(teller.usage.get(), keep, &told);
	usage_keeper_answered(teller.usage.get());
}

static void read_record(world &all, entry &reader)
{
	const usage_entry_t counted = { window, account, all.record, 0 };
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(counted));

	g_array_append_val(entries, counted);
	usage_adopt(reader.usage.get(), entries);
	reader.revision = all.revision;
	g_array_unref(entries);
}

static void sum_up(void *ctx, const usage_entry_t *counted)
{
	*static_cast<uint64_t *>(ctx) += counted->count;
}

/* The keeper writes; who did not know the last revision reads it first. */
static void write_record(world &all, size_t keeper)
{
	entry &writer = all.entries[keeper];
	uint64_t sum = 0;

	if (writer.revision != all.revision)
		read_record(all, writer);
	usage_compose(writer.usage.get(), window, sum_up, &sum);
	all.record = sum;
	writer.revision = ++all.revision;
	usage_recorded(writer.usage.get());
}

static void kill_one(world &all, size_t number)
{
	unsigned start = all.entries[number].start + 1;

	all.entries[number] = entry();
	all.entries[number].start = start;
	read_record(all, all.entries[number]);
}

static void all_tell_and_write(world &all, size_t keeper)
{
	for (size_t i = 0; i < all.entries.size(); i++)
		tell(all, i, keeper);
	write_record(all, keeper);
	all.unwritten = 0;
}

static void count_some(world &all, size_t who)
{
	uint64_t some = *rc::gen::inRange<uint64_t>(1, 9);

	for (uint64_t i = 0; i < some; i++)
		usage_add(all.entries[who].usage.get(), window, account);
	all.truth += some;
	all.unwritten += some;
}

static void step(world &all, size_t &keeper)
{
	size_t who = *rc::gen::inRange<size_t>(0, all.entries.size());

	switch (*rc::gen::weightedElement<int>(
		{ { 8, 0 }, { 4, 1 }, { 3, 2 }, { 2, 3 }, { 1, 4 }, { 1, 5 } })) {
	case 0:
		count_some(all, who);
		break;
	case 1:
		tell(all, who, keeper);
		break;
	case 2:
		write_record(all, keeper);
		break;
	case 3:
		if (usage_owes(all.entries[keeper].usage.get()))
			write_record(all, keeper);
		keeper = who;
		break;
	case 4:
		all.lost += all.unwritten;
		kill_one(all, who);
		break;
	case 5:
		all.lost += all.unwritten;
		for (size_t i = 0; i < all.entries.size(); i++)
			kill_one(all, i);
		break;
	}
}

int main()
{
	setenv("RC_PARAMS", "seed=1 max_success=1000", 0);
	return rc::check("the record has each request once",
			 [] {
				 world all;
				 size_t keeper = 0;
				 int steps = *rc::gen::inRange(1, 80);

				 all.entries.resize(*rc::gen::inRange<size_t>(1, 6));
				 for (int i = 0; i < steps; i++) {
					 step(all, keeper);
					 RC_ASSERT(all.record <= all.truth);
				 }
				 all_tell_and_write(all, keeper);
				 RC_ASSERT(all.record <= all.truth);
				 RC_ASSERT(all.record + all.lost >= all.truth);
			 })
		       ? 0
		       : 1;
}
