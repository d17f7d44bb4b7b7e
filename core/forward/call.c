/* Creation and queries of a caller's request. */
#include "core/forward/call.h"

/* Returns an empty call; the caller owns it. */
forward_call_t *forward_call_create(void)
{
	forward_call_t *call = g_new0(forward_call_t, 1);

	call->headers = g_string_new(NULL);
	return call;
}

/* Frees a call with its strings; NULL is allowed. */
void forward_call_destroy(forward_call_t *call)
{
	if (!call)
		return;
	g_free(call->id);
	g_free(call->method);
	g_free(call->target);
	g_free(call->host);
	g_free(call->api_key);
	g_free(call->resume_after);
	g_string_free(call->headers, TRUE);
	g_free(call);
}

/*
 * Returns the tokens of those parts of a call's prompt that other calls may
 * share.
 */
double forward_call_shared_tokens(const forward_call_t *call)
{
	double sum = 0;

	/* The last part is the request's own. */
	for (unsigned int i = 0; i + 1 < call->part_count; i++)
		sum += call->parts[i].tokens;
	return sum;
}
