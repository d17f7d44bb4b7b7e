/*
 * The buffer of log lines: one for the process, as there is one standard output.
 */
#include "adapters/log_buffer.h"

#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

/* Sustained rate; under normal load each request writes one line. */
#define LINES_PER_S 400
/* Lines in a burst after an idle period. */
#define LINES_BURST 1200
#define BUFFER_BYTES_MAX (256 * 1024)

static struct {
	int fd;
	GString *text;
	double tokens; /* lines that may be added now */
	pd_time_t refilled_at; /* 0: never */
	unsigned int dropped; /* lines since the last report */
} buffer;

/* Sets the file descriptor to write to, and makes it non-blocking. */
void log_buffer_init(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	buffer.fd = fd;
	buffer.text = g_string_new(NULL);
	buffer.tokens = LINES_BURST;
	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

/*
 * Adds a line, which ends with a line feed, or drops it if there are too many.
 */
void log_buffer_add(const char *line, size_t len)
{
	if (buffer.tokens < 1 || buffer.text->len + len > BUFFER_BYTES_MAX) {
		buffer.dropped++;
		return;
	}
	buffer.tokens -= 1;
	g_string_append_len(buffer.text, line, (gssize)len);
}

/*
 * Refills the rate limit and writes as much as the reader accepts. Must be
 * called several times a second.
 */
void log_buffer_flush(pd_time_t now)
{
	ssize_t written;

	if (buffer.refilled_at)
		buffer.tokens += LINES_PER_S *
				 (double)(now - buffer.refilled_at) / PD_SEC;
	buffer.tokens = MIN(buffer.tokens, LINES_BURST);
	buffer.refilled_at = now;
	if (buffer.dropped && buffer.tokens >= 1) {
		g_string_append_printf(buffer.text,
				       "log: left_out=%u reason=too-many\n",
				       buffer.dropped);
		buffer.dropped = 0;
	}
	if (!buffer.text->len)
		return;
	written = write(buffer.fd, buffer.text->str, buffer.text->len);
	if (written > 0)
		g_string_erase(buffer.text, 0, written);
}
