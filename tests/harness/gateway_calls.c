/* Requests of callers and of the load balancer to the gateways of a test rig. */
#include "tests/harness/gateway_calls.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/forwarder.h"

/* Returns whether a caller has received TEXT by now. */
bool rig_has_received(rig_caller_t *caller, const char *text)
{
	rig_receive(caller);
	return strstr(caller->received->str, text) != NULL;
}

/* Returns whether a caller's connection was closed by now. */
bool rig_is_closed(rig_caller_t *caller)
{
	rig_receive(caller);
	return caller->closed;
}

/* Starts a gateway for the START_COUNT-th time; its seeds are those that run. */
void rig_start_gateway(gateway_rig_t *rig, int number, int start_count)
{
	rig_start(rig, number);
	RIG_UNTIL(rig, rig_count_logged(rig, number, "gateway: start") ==
			       start_count);
	rig->peer_ports[number] = rig_port(rig, number, "peers");
}

/* Starts all gateways for the START_COUNT-th time, and waits until they are ready. */
void rig_start_gateways(gateway_rig_t *rig, int start_count)
{
	for (int i = 0; i < rig->gateway_count; i++)
		rig_start_gateway(rig, i, start_count);
	for (int i = 0; i < rig->gateway_count; i++)
		RIG_UNTIL(rig, rig_is_ready(rig, i));
}

/* Stores the first configuration, registers all upstreams and starts all gateways. */
void rig_start_fleet(gateway_rig_t *rig)
{
	rig_put_config(rig, 1, "");
	for (int i = 0; i < rig->upstream_count; i++)
		rig_put_upstream(rig, i, "ready");
	rig_start_gateways(rig, 1);
}

/* Has a gateway that is not started yet reach no upstream. */
void rig_cut_off(gateway_rig_t *rig, int number)
{
	for (int i = 0; i < rig->upstream_count; i++) {
		forwarder_t *link =
			forwarder_create(&rig->loop, rig->upstreams[i].port);

		rig->link_ports[number][i] = (uint16_t)forwarder_port(link);
		forwarder_close(link, true);
	}
}

/* Returns whether the readiness check of a gateway succeeds. */
bool rig_is_ready(gateway_rig_t *rig, int number)
{
	uint16_t port = rig_port(rig, number, "health");
	rig_caller_t *caller;
	bool ready;

	if (!port)
		return false;
	caller = rig_call(rig, port,
			  "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n");
	RIG_UNTIL(rig, rig_is_closed(caller));
	ready = strstr(caller->received->str, "HTTP/1.1 200") != NULL;
	rig_caller_destroy(caller);
	return ready;
}

/* Sends a call with a body of four bytes on an open connection; MORE are header lines. */
void rig_send_call_with(rig_caller_t *caller, const char *method,
			const char *path, const char *id, const char *more)
{
	char *text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: h\r\n"
				     "X-Attempt-Id: %s\r\n%s"
				     "X-Deadline-Ms: 3000\r\n"
				     "Authorization: Bearer k\r\n"
				     "Content-Length: 4\r\n\r\nbody",
				     method, path, id, more);

	rig_send(caller, text);
	g_free(text);
}

/* Sends such a call without further header lines. */
void rig_send_call(rig_caller_t *caller, const char *method, const char *path,
		   const char *id)
{
	rig_send_call_with(caller, method, path, id, "");
}

/* Opens a connection to gateway NUMBER and sends such a call; returns it, owned. */
rig_caller_t *rig_call_at(gateway_rig_t *rig, int number, const char *method,
			  const char *path, const char *id)
{
	rig_caller_t *caller = rig_call(rig, rig_port(rig, number, "callers"), "");

	rig_send_call(caller, method, path, id);
	return caller;
}
