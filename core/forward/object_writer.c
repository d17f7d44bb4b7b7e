/* Conditional writes of one object, several of which may be out at once. */
#include "core/forward/object_writer.h"

#include <glib.h>

struct object_writer {
	call_pacer_t *pacer;
	uint64_t revision; /* the highest seen; 0: none, the object is created */
	uint64_t digests[CALL_PACER_IN_FLIGHT_MAX]; /* of the contents that are out */
	uint64_t known_digest; /* digest of what the object holds; 0: unknown */
};

/* Returns a writer that has seen no revision; the caller owns it. */
object_writer_t *object_writer_create(pd_time_t period)
{
	object_writer_t *writer = g_new0(object_writer_t, 1);

	writer->pacer = call_pacer_create(period);
	return writer;
}

/* Frees a writer; NULL is allowed. */
void object_writer_destroy(object_writer_t *writer)
{
	if (!writer)
		return;
	call_pacer_destroy(writer->pacer);
	g_free(writer);
}

/* Sets the period of the writes from now on. */
void object_writer_set_period(object_writer_t *writer, pd_time_t period)
{
	call_pacer_set_period(writer->pacer, period);
}

/* Returns whether a write may be made now. */
bool object_writer_is_due(const object_writer_t *writer, pd_time_t now)
{
	return call_pacer_is_due(writer->pacer, now);
}

/* Returns whether the next write is one of the period, and not to make up for another. */
bool object_writer_is_regular(const object_writer_t *writer)
{
	return call_pacer_is_regular(writer->pacer);
}

/* Sets what answers are taken to need until some have come. */
void object_writer_set_answer_time(object_writer_t *writer, pd_time_t answer_time)
{
	call_pacer_set_answer_time(writer->pacer, answer_time);
}

/*
 * Returns whether the object may hold other contents than those of DIGEST. If not,
 * the next write is due in a period, so that contents are not composed all the time.
 */
bool object_writer_needs_write(object_writer_t *writer, uint64_t digest,
			       pd_time_t now)
{
	if (writer->known_digest != digest)
		return true;
	call_pacer_postpone(writer->pacer, now);
	return false;
}

/* Notes a write of contents with that digest, not 0. Returns its number. */
unsigned int object_writer_begin(object_writer_t *writer, uint64_t digest,
				 pd_time_t now)
{
	unsigned int call = call_pacer_begin(writer->pacer, now);

	writer->digests[call] = digest;
	return call;
}

/* Notes what the object was seen to hold, unless it has been changed since. */
static void writer_observe(object_writer_t *writer, uint64_t revision,
			   uint64_t digest)
{
	if (revision < writer->revision)
		return;
	writer->revision = revision;
	writer->known_digest = digest;
}

/* Notes how a write has ended; REVISION is the object's, 0 if it was not told. */
void object_writer_end(object_writer_t *writer, unsigned int call,
		       write_end_t end, uint64_t revision, pd_time_t now)
{
	switch (end) {
	case WRITE_DONE:
		writer_observe(writer, revision, writer->digests[call]);
		call_pacer_end(writer->pacer, call, CALL_ANSWERED, now);
		return;
	case WRITE_CONFLICT:
		call_pacer_end(writer->pacer, call, CALL_ANSWERED, now);
		/* An own write that was done later may have got there first. */
		if (revision <= writer->revision)
			return;
		writer_observe(writer, revision, 0);
		call_pacer_make_due(writer->pacer);
		return;
	case WRITE_REFUSED:
		call_pacer_end(writer->pacer, call, CALL_REFUSED, now);
		return;
	case WRITE_LOST:
		call_pacer_end(writer->pacer, call, CALL_LOST, now);
		return;
	}
}

/* Returns the revision that the next write depends on; 0: it creates the object. */
uint64_t object_writer_revision(const object_writer_t *writer)
{
	return writer->revision;
}
