/* Validation of msgpack data from untrusted senders, before it is unpacked. */
#ifndef PISTACHIO_MSGPACK_CHECK_H
#define PISTACHIO_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>

bool msgpack_lengths_fit(const char *data, size_t len);

#endif
