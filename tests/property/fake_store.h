/* An in-memory store of the lease record for property tests; versions only grow. */
#ifndef PISTACHIO_TEST_FAKE_STORE_H
#define PISTACHIO_TEST_FAKE_STORE_H

#include <rapidcheck.h>

#include <string>

/* In C a function and a structure may share a name. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
extern "C" {
#include "core/lease.h"
#include "core/placer.h"
}
#pragma GCC diagnostic pop

class fake_store
{
      public:
	fake_store() = default;
	fake_store(const fake_store &) = delete;
	fake_store &operator=(const fake_store &) = delete;

	~fake_store()
	{
		lease_record_destroy(record);
	}

	/* Executes a read or write. The caller owns the record of the reply. */
	struct lease_reply apply(const placer_action_t *action, bool down)
	{
		struct lease_reply reply = {};

		reply.op = action->lease.op;
		reply.status = STORE_OK;
		if (down) {
			reply.status = STORE_DOWN;
		} else if (action->kind == PLACER_LEASE_WRITE) {
			write(action, &reply);
		} else if (record) {
			reply.record = lease_record_copy(record);
		} else {
			reply.status = STORE_MISSING;
		}
		reply.version = version;
		return reply;
	}

	lease_record_t *record = nullptr;
	unsigned takeovers = 0;

      private:
	void write(const placer_action_t *action, struct lease_reply *reply)
	{
		const lease_record_t *wanted = action->lease.record;

		if (action->lease.version != version) {
			reply->status = STORE_CONFLICT;
			return;
		}
		if (!record || std::string(record->holder) != wanted->holder) {
			RC_ASSERT(wanted->fence > (record ? record->fence : 0));
			takeovers++;
		}
		lease_record_destroy(record);
		record = lease_record_copy(wanted);
		version++;
	}

	uint64_t version = 0;
};

#endif
