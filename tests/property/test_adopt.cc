/*
 * An answer is handed over from entry to entry, some of the messages about it
 * are lost, and its caller must read each token once and in order.
 */
#include <rapidcheck.h>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "tests/harness/drive.h"
}

namespace
{
constexpr unsigned int kTokens = 40;
constexpr pd_time_t kNotice = 1900 * PD_MSEC;
constexpr pd_time_t kStep = 100 * PD_MSEC;

/* Tokens differ in length, so that a wrong boundary is detected. */
std::string token_text(uint64_t offset)
{
	return std::string(1 + offset % 3, 'a' + static_cast<char>(offset % 26));
}

struct Reader {
	std::string text;
	std::string id; /* of the request that it reads */
	uint64_t offset = 0; /* tokens received */
	bool moved = false;
	bool ended = false;
};

/* One entry with an engine that answers token by token, as the test asks. */
struct Node {
	drive_t *drive;
	std::vector<action_t *> sent_messages;
	attempt_id_t attempt = 0;
	uint64_t next_offset = 0;
	bool running = false;
	unsigned int generated = 0;

	explicit Node(unsigned int number)
	{
		std::string name = "entry-" + std::to_string(number);

		drive = drive_create(name.c_str(), "zone-a", number);
		drive_bundle(drive, 1);
		drive_vms(drive, 2, 0, 4);
		/* Long enough to serve without a message from a peer. */
		drive_tick(drive, 3 * PD_SEC);
		drive_clear(drive);
	}
	Node(const Node &) = delete;
	Node &operator=(const Node &) = delete;
	~Node()
	{
		for (action_t *action : sent_messages)
			action_destroy(action);
		drive_destroy(drive);
	}

	/* Adds a peer of that id to the entry. */
	void add_peer(const char *id)
	{
		member_info_t info = {};
		event_t event = {};

		info.id = const_cast<char *>(id);
		info.zone = const_cast<char *>("zone-b");
		info.address = const_cast<char *>("127.0.0.1");
		info.incarnation = 1;
		event.kind = EVENT_PEER_SEEDS;
		event.seeds.members = &info;
		event.seeds.count = 1;
		drive_event(drive, &event);
	}

	/* Handles all actions; keeps the messages to peers. */
	void handle_actions(Reader *reader)
	{
		list_node_t *node;

		while ((node = list_pop(&drive->actions))) {
			action_t *action = LIST_ENTRY(node, action_t, node);

			if (action->kind == ACTION_PEER_SEND) {
				sent_messages.push_back(action);
				continue;
			}
			handle_action(action, reader);
			action_destroy(action);
		}
	}

	/* Updates the engine or the reader by one action. */
	void handle_action(const action_t *action, Reader *reader)
	{
		if (action->kind == ACTION_DISPATCH) {
			attempt = action->dispatch.attempt;
			next_offset = action->dispatch.offset;
			running = true;
		} else if (action->kind == ACTION_CANCEL) {
			running = running && attempt != action->attempt;
		} else if (action->kind == ACTION_TOKEN) {
			RC_ASSERT(reader);
			reader->text.append(action->reply.data, action->reply.len);
			reader->id = action->reply.request_id;
			reader->offset = action->reply.offset + 1;
		} else if (action->kind == ACTION_MOVED) {
			RC_ASSERT(reader->offset == action->reply.offset);
			reader->id = action->reply.request_id;
			reader->moved = true;
		} else if (action->kind == ACTION_END) {
			reader->ended = true;
		}
	}

	/* Lets the engine generate up to that many tokens. */
	void generate(unsigned int tokens, Reader *reader)
	{
		for (unsigned int i = 0; i < tokens && running; i++) {
			event_t event = {};
			std::string text = token_text(next_offset);

			event.kind = EVENT_UPSTREAM;
			event.upstream.kind = next_offset < kTokens
						      ? UPSTREAM_TOKEN
						      : UPSTREAM_END;
			event.upstream.attempt = attempt;
			event.upstream.offset = next_offset++;
			event.upstream.data = text.data();
			event.upstream.len = text.size();
			running = event.upstream.kind == UPSTREAM_TOKEN;
			generated += running;
			drive_event(drive, &event);
			handle_actions(reader);
		}
	}

	/*
	 * Delivers the messages of that kind that FROM sent to this entry, or
	 * loses them; returns whether there were any.
	 */
	bool deliver(Node &from, peer_msg_kind_t kind, bool lost, Reader *reader)
	{
		bool found = false;

		for (action_t *action : from.sent_messages) {
			event_t event = {};

			if (action->peer.msg->kind != kind)
				continue;
			found = true;
			event.kind = EVENT_PEER_MSG;
			event.peer = action->peer.msg;
			if (!lost)
				drive_event(drive, &event);
		}
		handle_actions(reader);
		return found;
	}

	/* Frees the messages that were sent so far. */
	void discard_sent_messages()
	{
		for (action_t *action : sent_messages)
			action_destroy(action);
		sent_messages.clear();
	}

	/* Sends the request of the reader, who may be resuming. */
	void send_request(const Reader &reader, const char *key_hash)
	{
		GBytes *body = g_bytes_new_static("prompt", 6);
		event_t event = {};

		event.kind = EVENT_REQUEST;
		event.request.caller = 1;
		event.request.kind = TARGET_MODEL;
		event.request.key_hash = key_hash;
		event.request.target = "m";
		event.request.body = body;
		event.request.max_tokens = kTokens;
		event.request.stream = true;
		if (!reader.id.empty()) {
			event.request.resume_id = reader.id.c_str();
			event.request.resume_offset = reader.offset;
		}
		drive_event(drive, &event);
		g_bytes_unref(body);
	}

	/* Gives the entry the notice of its reclaim. */
	void reclaim(Reader *reader)
	{
		event_t stop = {};

		stop.kind = EVENT_STOP;
		entry_set_reclaim_time(drive->entry, drive->now + kNotice);
		drive_event(drive, &stop);
		run_for(kStep, reader);
	}

	/* Advances the clock by LIMIT in steps. */
	void run_for(pd_time_t limit, Reader *reader)
	{
		for (pd_time_t t = 0; t < limit; t += kStep) {
			drive_tick(drive, kStep);
			handle_actions(reader);
		}
	}
};

struct Losses {
	bool offer, ack, find, found;
};

/*
 * Moves the reader from one entry over a holder to the next, with the given
 * losses of messages.
 */
void hand_over(Node &from, Node &holder, Node &to, unsigned int holder_tokens,
	       const Losses &losses, Reader *reader)
{
	from.discard_sent_messages();
	from.reclaim(reader);
	holder.deliver(from, PEER_HANDOVER, losses.offer, nullptr);
	from.deliver(holder, PEER_HANDOVER_ACK, losses.ack, reader);
	from.run_for(2 * PD_SEC, reader);
	if (reader->ended)
		return;
	RC_ASSERT(reader->moved);
	reader->moved = false;
	holder.generate(holder_tokens, nullptr);
	to.send_request(*reader, DRIVE_KEY_HASH);
	to.handle_actions(reader);
	holder.deliver(to, PEER_FIND, losses.find, nullptr);
	to.deliver(holder, PEER_FOUND, losses.found, reader);
	to.run_for(PD_SEC, reader);
}

/* Returns the text of the whole answer. */
std::string whole()
{
	std::string text;

	for (uint64_t i = 0; i < kTokens; i++)
		text += token_text(i);
	return text;
}

/*
 * Hands an answer over a random number of times; returns how many tokens the
 * engines generated.
 */
unsigned int journey(bool lossy)
{
	auto hops = *rc::gen::inRange(1, 4);
	std::vector<std::unique_ptr<Node>> nodes;
	unsigned int generated = 0;
	Reader reader;

	nodes.push_back(std::make_unique<Node>(1));
	nodes[0]->send_request(reader, DRIVE_KEY_HASH);
	nodes[0]->handle_actions(&reader);
	for (int i = 0; i < hops && !reader.ended; i++) {
		auto size = static_cast<unsigned int>(nodes.size());
		Losses losses = {};

		nodes.push_back(std::make_unique<Node>(size + 1));
		nodes.push_back(std::make_unique<Node>(size + 2));
		nodes[size - 1]->add_peer("entry-holder");
		nodes[size + 1]->add_peer("entry-holder");
		nodes[size - 1]->generate(*rc::gen::inRange(0U, 20U), &reader);
		if (lossy)
			losses = { *rc::gen::arbitrary<bool>(),
				   *rc::gen::arbitrary<bool>(),
				   *rc::gen::arbitrary<bool>(),
				   *rc::gen::arbitrary<bool>() };
		hand_over(*nodes[size - 1], *nodes[size], *nodes[size + 1],
			  *rc::gen::inRange(0U, 50U), losses, &reader);
	}
	nodes.back()->generate(kTokens + 1, &reader);
	RC_ASSERT(reader.ended);
	RC_ASSERT(reader.text == whole());
	for (const auto &node : nodes)
		generated += node->generated;
	return generated;
}

bool check_journeys()
{
	return rc::check("a moved answer is whole and computed once",
			 [] { RC_ASSERT(journey(false) == kTokens); });
}

bool check_lossy_journeys()
{
	return rc::check("a moved answer is whole though messages are lost",
			 [] { journey(true); });
}

/*
 * An account that knows a request's id must not read another account's answer.
 */
bool check_accounts()
{
	return rc::check("an answer goes to its own account only", [] {
		Node from(1);
		Node holder(2);
		Node to(3);
		Reader reader;
		Reader other;

		from.add_peer("entry-holder");
		to.add_peer("entry-holder");
		from.send_request(reader, DRIVE_KEY_HASH);
		from.handle_actions(&reader);
		from.generate(*rc::gen::inRange(1U, 20U), &reader);
		from.reclaim(&reader);
		holder.deliver(from, PEER_HANDOVER, false, nullptr);
		from.deliver(holder, PEER_HANDOVER_ACK, false, &reader);
		RC_ASSERT(reader.moved);
		holder.generate(*rc::gen::inRange(1U, 50U), nullptr);
		other.id = reader.id;
		other.offset = reader.offset;
		to.send_request(other, DRIVE_URGENT_KEY_HASH);
		to.handle_actions(&other);
		holder.deliver(to, PEER_FIND, false, nullptr);
		to.deliver(holder, PEER_FOUND, false, &other);
		to.run_for(PD_SEC, &other);
		RC_ASSERT(other.text.empty());
		RC_ASSERT(!other.ended);
	});
}
} // namespace

int main()
{
	bool good = check_journeys();

	good = check_lossy_journeys() && good;
	good = check_accounts() && good;
	return good ? 0 : 1;
}
