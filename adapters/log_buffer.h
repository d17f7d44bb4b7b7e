/*
 * Log lines on standard output that never hold the program up: lines are
 * gathered and written when the reader takes them; too many a second, or more
 * than the buffer holds, are left out and counted.
 */
#ifndef PISTACHIO_LOG_BUFFER_H
#define PISTACHIO_LOG_BUFFER_H

#include <stddef.h>

#include "ports/clock.h"

void log_buffer_init(int fd);
void log_buffer_add(const char *line, size_t len);
void log_buffer_flush(pd_time_t now);

#endif
