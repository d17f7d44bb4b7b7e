/* A TCP proxy in the event loop of a test, which injects network faults. */
#ifndef PISTACHIO_TEST_FORWARDER_H
#define PISTACHIO_TEST_FORWARDER_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

typedef struct forwarder forwarder_t;

forwarder_t *forwarder_create(uv_loop_t *loop, int target_port);
int forwarder_port(const forwarder_t *forwarder);
void forwarder_cut(forwarder_t *forwarder);
void forwarder_silence(forwarder_t *forwarder);
void forwarder_one_way(forwarder_t *forwarder);
void forwarder_delay(forwarder_t *forwarder, unsigned int ms);
void forwarder_refuse(forwarder_t *forwarder, bool refuse);
void forwarder_cut_after(forwarder_t *forwarder, size_t request_bytes);
void forwarder_cut_answers(forwarder_t *forwarder, bool cut);
void forwarder_hang(forwarder_t *forwarder, bool hang);
void forwarder_close(forwarder_t *forwarder, bool closed);
unsigned int forwarder_open(const forwarder_t *forwarder);

#endif
