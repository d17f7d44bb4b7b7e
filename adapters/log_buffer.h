/*
 * Logging to standard output that never blocks the program: lines are buffered
 * and written when the reader accepts them. Lines beyond the rate limit or the
 * size of the buffer are dropped and counted.
 */
#ifndef PISTACHIO_LOG_BUFFER_H
#define PISTACHIO_LOG_BUFFER_H

#include <stddef.h>

#include "ports/clock.h"

void log_buffer_init(int fd);
void log_buffer_add(const char *line, size_t len);
void log_buffer_flush(pd_time_t now);

#endif
