/*
 * Rewrites one object of the store periodically. Each write is conditional on
 * the revision that was seen last, so one that is executed late does no harm,
 * and none waits for the answer to the one before.
 */
#ifndef PISTACHIO_OBJECT_WRITER_H
#define PISTACHIO_OBJECT_WRITER_H

#include <stdint.h>

#include "core/forward/call_pacer.h"

typedef struct object_writer object_writer_t;

typedef enum write_end {
	WRITE_DONE,
	WRITE_CONFLICT, /* the object has another revision */
	WRITE_REFUSED,
	WRITE_LOST /* it is unknown whether it was or will be executed */
} write_end_t;

object_writer_t *object_writer_create(pd_time_t period);
void object_writer_destroy(object_writer_t *writer);
void object_writer_set_period(object_writer_t *writer, pd_time_t period);
bool object_writer_is_due(const object_writer_t *writer, pd_time_t now);
bool object_writer_is_regular(const object_writer_t *writer);
void object_writer_set_answer_time(object_writer_t *writer, pd_time_t answer_time);
bool object_writer_needs_write(object_writer_t *writer, uint64_t digest,
			       pd_time_t now);
unsigned int object_writer_begin(object_writer_t *writer, uint64_t digest,
				 pd_time_t now);
void object_writer_end(object_writer_t *writer, unsigned int call,
		       write_end_t end, uint64_t revision, pd_time_t now);
uint64_t object_writer_revision(const object_writer_t *writer);

#endif
