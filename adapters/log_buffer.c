/* The buffer of log lines; one for the process, as standard output is. */
#include "adapters/log_buffer.h"

#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

/* Lines a second, kept up for long; a request in the usual load writes one. */
#define LINES_PER_S 400
/* Lines at once after a quiet time. */
#define LINES_BURST 1200
#define BUFFER_BYTES_MAX (256 * 1024)

static struct {
	int fd;
	GString *text;
	double tokens;
	pd_time_t refilled_at;
	unsigned int dropped;
} buffer;

/* Sets the descriptor to write to; it must not block, so it is set not to. */
void log_buffer_init(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	buffer.fd = fd;
	buffer.text = g_string_new(NULL);
	buffer.tokens = LINES_BURST;
	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

/* Adds a line with its line feed, unless there are too many. */
void log_buffer_add(const char *line, size_t len)
{
	if (buffer.tokens < 1 || buffer.text->len + len > BUFFER_BYTES_MAX) {
		buffer.dropped++;
		return;
	}
	buffer.tokens -= 1;
	g_string_append_len(buffer.text, line, (gssize)len);
}

/* Writes as much as the reader takes. To be called some times a second. */
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
