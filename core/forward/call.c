/* Creation and queries of a caller's request. */
#include "core/forward/call.h"

#include "core/hash.h"

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
	g_free(call->resumes);
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

/* Returns HASH with a string added; NULL and "" differ. */
static uint64_t hash_add_string(uint64_t hash, const char *text)
{
	return hash_number(hash ^ (text ? hash_string(text) : 1));
}

/*
 * Returns a hash of what a call asks for, the same for all attempts of a caller at one
 * request: its id, its deadline and the event after which it resumes a stream are left
 * out. ACCOUNT may be NULL. Never returns 0 or an odd number.
 */
uint64_t forward_call_fingerprint(const forward_call_t *call,
				  const char *account, const GByteArray *body)
{
	uint64_t hash = hash_bytes((const char *)body->data, body->len);

	hash = hash_add_string(hash, call->method);
	hash = hash_add_string(hash, call->host);
	hash = hash_add_string(hash, call->target);
	hash = hash_add_string(hash, account);
	for (unsigned int i = 0; i < call->part_count; i++) {
		hash = hash_number(hash ^ call->parts[i].id);
		hash = hash_number(hash ^ call->parts[i].tokens);
	}
	hash = hash_number(hash ^ call->prompt_tokens);
	hash = hash_number(hash ^ call->output_tokens);
	hash &= ~(uint64_t)1;
	return hash ? hash : 2;
}
