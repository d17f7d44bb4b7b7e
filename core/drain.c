/*
 * Drains leaving VMs: each tick checks the streams that run on them, leaves
 * those that will finish in time, and moves the others.
 */
#include <string.h>

#include "core/entry_state.h"
#include "core/queue.h"
#include "core/prefix.h"

#define TOKEN_GAP_DEFAULT (40 * PD_MSEC) /* without a target in the bundle */
/*
 * The weight of the expected gap, in observed gaps. Without it a single late
 * token at the start of an answer makes the stream look slow, and it is moved
 * though it would finish in time.
 */
#define TOKEN_GAP_PRIOR_WEIGHT 8
#define START_LIMIT_RETRY_DELAY (50 * PD_MSEC)
/*
 * How long a broken stream waits for the upstream that holds most of its
 * prefix; a longer wait costs its caller more than recomputing it elsewhere.
 */
#define PREFIX_HOLDER_WAIT_MAX (500 * PD_MSEC)

/* Returns the approximate number of tokens of prompt and generated text. */
static unsigned int drain_context_tokens(const request_t *request)
{
	return (unsigned int)(g_bytes_get_size(request->body) /
				      PREFIX_BYTES_PER_TOKEN +
			      request->offset);
}

/* Returns the progress of the request's stream. */
static move_stream_t drain_describe_stream(const entry_t *entry,
					   const request_t *request)
{
	uint64_t token_count = request->offset - request->first_offset;
	move_stream_t stream = { .context_tokens = drain_context_tokens(request),
				 .token_gap = TOKEN_GAP_DEFAULT };

	if (request->max_tokens > request->offset)
		stream.remaining_tokens =
			(unsigned int)(request->max_tokens - request->offset);
	if (entry->bundle && entry->bundle->token_gap_target > 0)
		stream.token_gap = entry->bundle->token_gap_target;
	if (request->first_token_at && token_count > 1)
		stream.token_gap =
			(TOKEN_GAP_PRIOR_WEIGHT * stream.token_gap +
			 entry->now - request->first_token_at) /
			(TOKEN_GAP_PRIOR_WEIGHT + (pd_time_t)(token_count - 1));
	return stream;
}

/*
 * Returns the leaving VM on which the request's stream runs, borrowed, or NULL
 * if it need not move.
 */
static upstream_t *drain_leaving_upstream(const entry_t *entry,
					  const request_t *request)
{
	upstream_t *upstream = upstreams_find(entry->upstreams, request->vm_id);

	if (request->target.kind != TARGET_MODEL || request->claim_key ||
	    !upstream || !upstream->leaving)
		return NULL;
	return upstream;
}

/*
 * Returns the VM from which an attempt on TARGET should import the request's KV
 * cache, borrowed, or NULL if there is none or recomputing is quicker.
 */
const upstream_t *drain_export_source(const entry_t *entry,
				      const request_t *request,
				      const upstream_t *target)
{
	const upstream_t *source = NULL;
	move_stream_t stream = drain_describe_stream(entry, request);
	uint64_t prefixes[PREFIX_BLOCKS_MAX];
	unsigned int cached;
	size_t count;

	if (request->kv_exportable)
		source = drain_leaving_upstream(entry, request);
	if (!source || source == target)
		return NULL;
	count = drain_hash_prefixes(request, prefixes);
	cached = upstream_cached_tokens(target, prefixes, count);
	if (!move_should_import(&entry->move_costs, &stream, cached,
				source->leaves_at - entry->now))
		return NULL;
	return source;
}

/*
 * Fills HASHES, of PREFIX_BLOCKS_MAX, with the prefixes of the prompt and the
 * generated text. Returns their number.
 */
size_t drain_hash_prefixes(const request_t *request, uint64_t *hashes)
{
	gsize len;
	const char *prompt = g_bytes_get_data(request->body, &len);
	GString *text = g_string_new_len(prompt, (gssize)len);
	size_t count;

	g_string_append_len(text, request->emitted->str,
			    (gssize)request->emitted->len);
	count = prefix_hashes(text->str, text->len, hashes, PREFIX_BLOCKS_MAX);
	g_string_free(text, TRUE);
	return count;
}

/*
 * Chooses the target of a stream that must move, with its KV cache if that is
 * quicker; NULL if there is none now. Only a KV export that would otherwise be
 * lost justifies exceeding the start limit: a stream that resumes from its text
 * can do so just as well after its VM has gone.
 */
static upstream_t *drain_choose_target(entry_t *entry, const request_t *request,
				       const upstream_t *source)
{
	pd_time_t time_left = source->leaves_at - entry->now;
	move_stream_t stream = drain_describe_stream(entry, request);
	uint64_t prefixes[PREFIX_BLOCKS_MAX];
	move_query_t query = { .avoid = source->vm.id,
			       .now = entry->now,
			       .serves = request->target.name,
			       .ignores_start_limit = true,
			       .zone = upstreams_zone(entry->upstreams),
			       .prefixes = prefixes,
			       .context_tokens = stream.context_tokens };
	upstream_t *preferred;
	unsigned int cached;

	query.prefix_count = drain_hash_prefixes(request, prefixes);
	preferred = move_choose(entry->upstreams, &entry->move_costs, &query);
	if (!preferred)
		return NULL;
	cached = upstream_cached_tokens(preferred, prefixes, query.prefix_count);
	query.imports_kv = request->started &&
			   move_should_import(&entry->move_costs, &stream,
					      cached, time_left);
	if (!query.imports_kv)
		return move_has_start_capacity(preferred) ? preferred : NULL;
	query.ignores_start_limit = move_is_due(time_left);
	return move_choose(entry->upstreams, &entry->move_costs, &query);
}

/*
 * Fills QUERY for a stream whose attempt failed. PREFIXES is the query's
 * storage, of PREFIX_BLOCKS_MAX.
 */
static void drain_resume_query(const entry_t *entry, const request_t *request,
			       move_query_t *query, uint64_t *prefixes)
{
	query->avoid = request->vm_id;
	query->now = entry->now;
	query->serves = request->target.name;
	query->ignores_start_limit = true;
	query->zone = upstreams_zone(entry->upstreams);
	query->prefixes = prefixes;
	query->prefix_count = drain_hash_prefixes(request, prefixes);
	query->context_tokens = drain_context_tokens(request);
}

/*
 * Resumes a stream whose attempt failed on the upstream where it continues
 * soonest. When a zone fails without notice, all its streams arrive here at
 * once; those beyond the start limit wait a moment. Returns false, and leaves
 * the request as it is, if no upstream has capacity.
 */
bool drain_resume(entry_t *entry, request_t *request)
{
	uint64_t prefixes[PREFIX_BLOCKS_MAX];
	move_query_t query = { 0 };
	upstream_t *target;
	bool urgent;

	if (request->target.kind != TARGET_MODEL || request->attempts == 0)
		return false;
	drain_resume_query(entry, request, &query, prefixes);
	urgent = request->priority == PRIORITY_URGENT;
	target = move_choose(entry->upstreams, &entry->move_costs, &query);
	if (!target)
		return false;
	if (!urgent && !move_has_start_capacity(target)) {
		query.ignores_start_limit = false;
		target = entry->now - request->last_progress_at < PREFIX_HOLDER_WAIT_MAX
				 ? NULL
				 : move_choose(entry->upstreams,
					       &entry->move_costs, &query);
	}
	if (target)
		dispatch_send_to(entry, request, target, "its attempt broke");
	else
		request->retry_at = entry->now + START_LIMIT_RETRY_DELAY;
	return true;
}

/* Orders requests by descending context, then by age of their attempt. */
static gint compare_context_tokens(gconstpointer a, gconstpointer b)
{
	const request_t *left = *(request_t *const *)a;
	const request_t *right = *(request_t *const *)b;
	unsigned int left_tokens = drain_context_tokens(left);
	unsigned int right_tokens = drain_context_tokens(right);

	if (left_tokens != right_tokens)
		return left_tokens > right_tokens ? -1 : 1;
	return left->attempt < right->attempt ? -1 : 1;
}

/*
 * Returns the streams that must leave their VM, those with the most context
 * first. The caller owns the array.
 */
static GPtrArray *drain_collect_streams(entry_t *entry)
{
	GPtrArray *streams = g_ptr_array_new();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, entry->running);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		request_t *request = value;
		const upstream_t *source = drain_leaving_upstream(entry, request);
		move_stream_t stream;

		if (!source)
			continue;
		stream = drain_describe_stream(entry, request);
		if (!move_stream_will_finish(&stream,
					     source->leaves_at - entry->now))
			g_ptr_array_add(streams, request);
	}
	g_ptr_array_sort(streams, compare_context_tokens);
	return streams;
}

/*
 * Moves one stream if there is a target for it. Otherwise it continues where it
 * is, since each token it still gets need not be recomputed; once its VM has
 * gone the attempt counts as failed. Returns false if it was not moved.
 */
static bool drain_move_stream(entry_t *entry, request_t *request)
{
	const upstream_t *source = drain_leaving_upstream(entry, request);
	upstream_t *target = drain_choose_target(entry, request, source);

	if (!target && source->leaves_at > entry->now)
		return false;
	dispatch_cancel_attempt(entry, request);
	request->kv_exportable = request->started;
	if (target)
		dispatch_send_to(entry, request, target, "its VM leaves");
	else
		attempt_redispatch(entry, request);
	return true;
}

/*
 * Moves the streams that must leave their VM, as far as targets have capacity
 * now.
 */
void drain_check(entry_t *entry)
{
	GPtrArray *streams = drain_collect_streams(entry);
	const char *full_model = NULL; /* model without a target now */

	for (guint i = 0; i < streams->len; i++) {
		request_t *request = g_ptr_array_index(streams, i);
		const upstream_t *source = drain_leaving_upstream(entry, request);

		if (full_model && !strcmp(full_model, request->target.name) &&
		    !move_is_due(source->leaves_at - entry->now))
			continue;
		if (!drain_move_stream(entry, request))
			full_model = request->target.name;
	}
	g_ptr_array_unref(streams);
}
