/*
 * Conditional writes of one object, several of which may be in flight at once.
 */
#include "core/forward/object_writer.h"

#include <glib.h>

struct object_writer {
	call_pacer_t *pacer;
	/* the highest seen; 0: none, the object is created */
	uint64_t revision;
	/* of the contents in flight */
	uint64_t digests[CALL_PACER_IN_FLIGHT_MAX];
	uint64_t stored_digest; /* of what the object holds; 0: unknown */
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

/* Returns whether a write is to be made now. */
bool object_writer_is_due(const object_writer_t *writer, pd_time_t now)
{
	return call_pacer_is_due(writer->pacer, now);
}

/*
 * Returns whether the next write is a periodic one, not a repetition of an
 * unanswered one.
 */
bool object_writer_is_regular(const object_writer_t *writer)
{
	return call_pacer_is_regular(writer->pacer);
}

/* Sets the average answer time, as measured by other calls to the store. */
void object_writer_set_answer_time(object_writer_t *writer, pd_time_t answer_time)
{
	call_pacer_set_answer_time(writer->pacer, answer_time);
}

/*
 * Returns whether the object may hold other contents than those with DIGEST. If
 * not, the next write is due in a period, so that contents are not serialized
 * all the time.
 */
bool object_writer_needs_write(object_writer_t *writer, uint64_t digest,
			       pd_time_t now)
{
	if (writer->stored_digest != digest)
		return true;
	call_pacer_postpone(writer->pacer, now);
	return false;
}

/*
 * Records that a write of contents with DIGEST, not 0, starts. Returns its
 * number, for object_writer_end().
 */
unsigned int object_writer_begin(object_writer_t *writer, uint64_t digest,
				 pd_time_t now)
{
	unsigned int call = call_pacer_begin(writer->pacer, now);

	writer->digests[call] = digest;
	return call;
}

/* Records what the object held at a revision, unless a later one is known. */
static void writer_observe(object_writer_t *writer, uint64_t revision,
			   uint64_t digest)
{
	if (revision < writer->revision)
		return;
	writer->revision = revision;
	writer->stored_digest = digest;
}

/* Records how a write ended; REVISION is the object's, 0 if unknown. */
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
		/* A later write of this writer may have been executed first. */
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

/*
 * Returns the revision on which the next write is conditional; 0: it creates
 * the object.
 */
uint64_t object_writer_revision(const object_writer_t *writer)
{
	return writer->revision;
}
