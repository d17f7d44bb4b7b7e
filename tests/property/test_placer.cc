/*
 * Several placers buy and release VMs through a store and a cloud that lose
 * replies, are late, refuse and fail, while processes pause and die and VMs are
 * reclaimed. Users pay for what is bought: every order must be on record before
 * it is sent, no VM may be released while it has streams, and in the end there
 * must be as many VMs as the bundle requires, whatever faults occurred.
 */
#include <algorithm>
#include <cstring>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/property/fake_store.h"

static const size_t PLACERS = 3;
static const pd_time_t STEP = 100 * PD_MSEC;
static const int STEPS = 3000;
static const int FAULT_FREE_STEPS = 3000;
static const pd_time_t TIMEOUT = 20 * PD_SEC;
static const pd_time_t LIST_LAG = 2 * PD_SEC;
static const char *const ZONES[] = { "a", "b", "c", NULL };

struct cloud_vm {
	std::string id;
	std::string tag;
	std::string zone;
	bool reclaimable;
	pd_time_t listed_at;
	pd_time_t gone_at = 0; /* when it ends; 0: not known */
	bool draining = false;
	pd_time_t streams_until = 0;
};

/* An order or a request to the store, then its reply. */
struct message {
	size_t from;
	unsigned incarnation;
	placer_action_t *action;
	pd_time_t arrives_at;
	bool reply_lost;
	bool handled = false;
	placer_event_t event = {};
};

struct process {
	placer_t *placer = nullptr;
	unsigned incarnation = 0;
	pd_time_t clock_offset = 0;
	pd_time_t paused_until = 0;
	pd_time_t next_list = 0;
};

class world
{
      public:
	world(uint32_t seed) : random(g_rand_new_with_seed(seed))
	{
		tags_are_idempotent = random_fraction() < 0.5;
		for (auto &process : processes)
			start(process);
	}

	~world()
	{
		for (auto &process : processes)
			placer_destroy(process.placer);
		for (auto &message : messages)
			free_message(message);
		g_rand_free(random);
	}

	world(const world &) = delete;
	world &operator=(const world &) = delete;

	void step(bool with_faults)
	{
		faults = with_faults;
		now += STEP;
		if (faults)
			inject_fault();
		else
			down_until = refusing_until = 0;
		vms.remove_if([this](const cloud_vm &vm) {
			return vm.gone_at && now >= vm.gone_at;
		});
		for (auto &message : messages) {
			if (!message.handled && message.arrives_at <= now)
				apply(message);
		}
		for (size_t i = 0; i < PLACERS; i++)
			run(i);
		messages.remove_if([this](message &message) {
			bool over = message.handled &&
				    (message.reply_lost ||
				     message.incarnation !=
					     processes[message.from].incarnation);

			if (over)
				free_message(message);
			return over;
		});
	}

	void set_workers(unsigned count)
	{
		workers = count;
		for (auto &process : processes)
			send_bundle(process);
	}

	size_t serving() const
	{
		return (size_t)std::count_if(vms.begin(), vms.end(),
					     [](const cloud_vm &vm) {
						     return !vm.gone_at &&
							    !vm.draining;
					     });
	}

	size_t count() const
	{
		return vms.size();
	}

	unsigned bought = 0;
	unsigned bought_twice = 0;
	unsigned released = 0;

      private:
	double random_fraction()
	{
		return g_rand_double(random);
	}

	pd_time_t random_time(pd_time_t max)
	{
		return (pd_time_t)(random_fraction() * (double)max);
	}

	void send_bundle(process &process)
	{
		bundle_t *bundle = bundle_create();
		target_t *target = bundle_add_target(bundle, TARGET_MODEL, "m");
		placer_event_t event = {};

		target->workers = workers;
		target->machine_class = g_strdup("any");
		target->timeout = TIMEOUT;
		event.kind = PLACER_BUNDLE;
		event.bundle = bundle;
		handle(process, &event);
	}

	void start(process &process)
	{
		std::string id = "p" + std::to_string(++started);
		placer_config_t config = {};

		config.id = id.c_str();
		config.zones = ZONES;
		config.seed = g_rand_int(random);
		placer_destroy(process.placer);
		process.placer = placer_create(&config);
		process.incarnation++;
		process.clock_offset = random_time(1000 * PD_SEC);
		send_bundle(process);
	}

	void inject_fault()
	{
		process &victim = processes[(size_t)(random_fraction() * PLACERS)];
		double choice = random_fraction();

		if (choice < 0.002)
			start(victim);
		else if (choice < 0.006)
			victim.paused_until = now + random_time(60 * PD_SEC);
		else if (choice < 0.008)
			down_until = now + random_time(20 * PD_SEC);
		else if (choice < 0.010)
			refusing_until = now + random_time(60 * PD_SEC);
		else if (choice < 0.020)
			reclaim(1);
		else if (choice < 0.021)
			reclaim(3);
	}

	void reclaim(int max)
	{
		for (auto &vm : vms) {
			if (max-- > 0 && !vm.gone_at)
				vm.gone_at = now + 5 * PD_SEC;
		}
	}

	void send(size_t from, placer_action_t *action)
	{
		message message = {};

		message.from = from;
		message.incarnation = processes[from].incarnation;
		message.action = action;
		message.arrives_at = now + 5 * PD_MSEC;
		if (faults && random_fraction() < 0.1)
			message.arrives_at += random_time(20 * PD_SEC);
		message.reply_lost = faults && random_fraction() < 0.1;
		messages.push_back(message);
	}

	void handle(process &process, placer_event_t *event)
	{
		list_node_t actions;
		list_node_t *node;

		event->now = now + process.clock_offset;
		list_init(&actions);
		placer_handle(process.placer, event, &actions);
		while ((node = list_pop(&actions)))
			check_and_send(process,
				       LIST_ENTRY(node, placer_action_t, node),
				       event->now);
	}

	/*
	 * Sends an action. Checks that an order is on record, and that the
	 * lease holds.
	 */
	void check_and_send(const process &process, placer_action_t *action,
			    pd_time_t clock)
	{
		switch (action->kind) {
		case PLACER_DECISION:
			placer_action_destroy(action);
			return;
		case PLACER_BUY:
			RC_ASSERT(recorded.count(action->buy.intent.tag) == 1);
			RC_ASSERT(clock < action->buy.not_after);
			break;
		case PLACER_RELEASE:
			RC_ASSERT(recorded.count(std::string("release-") +
						 action->release.vm_id) == 1);
			RC_ASSERT(clock < action->release.not_after);
			break;
		case PLACER_ENGINE_ORDER:
			RC_ASSERT(recorded.count(std::string("release-") +
						 action->engine.vm_id) == 1);
			break;
		case PLACER_LEASE_READ:
		case PLACER_LEASE_WRITE:
			break;
		}
		send((size_t)(&process - processes.data()), action);
	}

	void run(size_t i)
	{
		process &process = processes[i];
		placer_event_t tick = {};

		if (now < process.paused_until)
			return;
		for (auto &message : messages) {
			if (message.from != i || !message.handled ||
			    message.reply_lost ||
			    message.incarnation != process.incarnation)
				continue;
			message.reply_lost = true;
			handle(process, &message.event);
		}
		if (now >= process.next_list) {
			process.next_list = now + PD_SEC;
			send_vm_list(process);
		}
		tick.kind = PLACER_TICK;
		handle(process, &tick);
	}

	void send_vm_list(process &process)
	{
		std::vector<vm_t> listed_vms;
		placer_event_t event = {};

		for (auto &vm : vms) {
			vm_t listed_vm = {};

			if (vm.listed_at > now)
				continue;
			listed_vm.id = (char *)vm.id.c_str();
			listed_vm.tag = (char *)vm.tag.c_str();
			listed_vm.zone = (char *)vm.zone.c_str();
			listed_vm.machine_class = (char *)"any";
			listed_vm.address = (char *)"127.0.0.1";
			listed_vm.serves = (char *)"m";
			listed_vm.role = VM_MODEL;
			listed_vm.reclaimable = vm.reclaimable;
			listed_vm.state = vm.gone_at ? VM_LEAVING : VM_LIVE;
			listed_vm.slots = 8;
			listed_vms.push_back(listed_vm);
		}
		event.kind = PLACER_VM_LIST;
		event.vm_list.vms = listed_vms.data();
		event.vm_list.count = listed_vms.size();
		handle(process, &event);
	}

	cloud_vm *find(const char *id)
	{
		for (auto &vm : vms) {
			if (vm.id == id)
				return &vm;
		}
		return nullptr;
	}

	void handle_purchase(message &message)
	{
		const intent_t *intent = &message.action->buy.intent;
		bool known = tags.count(intent->tag) > 0;

		message.event.kind = PLACER_PURCHASE_REPLY;
		message.event.purchase.tag = intent->tag;
		message.event.purchase.status = STORE_OK;
		if (known && tags_are_idempotent)
			return;
		if (now < refusing_until) {
			message.event.purchase.status = STORE_DOWN;
			return;
		}
		tags.insert(intent->tag);
		bought++;
		bought_twice += known;
		vms.push_back({ "vm-" + std::to_string(bought), intent->tag,
				intent->zone, intent->reclaimable,
				now + LIST_LAG, 0, false, now + TIMEOUT });
	}

	void handle_engine_order(message &message)
	{
		cloud_vm *vm = find(message.action->engine.vm_id);

		message.event.kind = PLACER_ENGINE_REPLY;
		message.event.engine.vm_id = message.action->engine.vm_id;
		message.event.engine.status = vm ? STORE_OK : STORE_UNKNOWN;
		if (!vm)
			return;
		if (!vm->draining)
			vm->streams_until = now + random_time(TIMEOUT);
		vm->draining = true;
		message.event.engine.running = now < vm->streams_until;
	}

	void handle_release(message &message)
	{
		cloud_vm *vm = find(message.action->release.vm_id);

		message.event.kind = PLACER_TICK;
		if (!vm)
			return;
		RC_ASSERT(vm->draining && now >= vm->streams_until);
		released++;
		vm->gone_at = now;
	}

	void apply(message &message)
	{
		message.handled = true;
		switch (message.action->kind) {
		case PLACER_BUY:
			handle_purchase(message);
			break;
		case PLACER_RELEASE:
			handle_release(message);
			break;
		case PLACER_ENGINE_ORDER:
			handle_engine_order(message);
			break;
		case PLACER_LEASE_READ:
		case PLACER_LEASE_WRITE:
			message.event.kind = PLACER_LEASE_REPLY;
			message.event.lease =
				store.apply(message.action, now < down_until);
			save_recorded_tags();
			break;
		case PLACER_DECISION:
			break;
		}
	}

	void save_recorded_tags()
	{
		for (unsigned i = 0;
		     store.record && i < store.record->intent_count; i++)
			recorded.insert(store.record->intents[i].tag);
	}

	static void free_message(message &message)
	{
		if (message.event.kind == PLACER_LEASE_REPLY)
			lease_record_destroy(const_cast<lease_record_t *>(
				message.event.lease.record));
		placer_action_destroy(message.action);
	}

	GRand *random;
	std::vector<process> processes = std::vector<process>(PLACERS);
	std::list<message> messages;
	std::list<cloud_vm> vms;
	std::set<std::string> tags; /* of all purchases */
	std::set<std::string> recorded; /* tags seen in the lease object */
	fake_store store;
	pd_time_t now = PD_SEC;
	pd_time_t down_until = 0;
	pd_time_t refusing_until = 0;
	unsigned workers = 6;
	unsigned started = 0;
	bool tags_are_idempotent;
	bool faults = true;
};

static bool check_orders()
{
	return rc::check("orders are on record, and the count comes right", [] {
		static const unsigned counts[] = { 6, 2, 8 };
		world world(*rc::gen::arbitrary<uint32_t>());

		for (int i = 0; i < STEPS; i++) {
			if (i % (STEPS / 3) == 0)
				world.set_workers(counts[i / (STEPS / 3)]);
			world.step(true);
		}
		for (int i = 0; i < FAULT_FREE_STEPS; i++)
			world.step(false);
		RC_ASSERT(world.serving() == 8);
		RC_ASSERT(world.count() == 8);
		RC_CLASSIFY(world.bought_twice > 0, "a tag bought twice");
		RC_CLASSIFY(world.released > 0, "a VM released");
	});
}

int main()
{
	return check_orders() ? 0 : 1;
}
