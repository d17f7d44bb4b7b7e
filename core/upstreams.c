/*
 * The table of upstreams. An entry sends to a subset of them, those with the
 * highest rendezvous weight for it, so that its connections, probes and reports
 * do not grow with the fleet.
 */
#include "core/upstreams.h"

#include <string.h>

#include "core/hash.h"
#include "core/prefix.h"
#include "ports/event.h"

#define PROBE_PERIOD (1 * PD_SEC)
/*
 * The limit for all probes of one entry, whatever the size of its subset: at
 * the planned fleet size a subset of each of a few models is a hundred
 * upstreams, and probing each of them every second would cost ten times a
 * node's budget for control traffic.
 */
#define PROBES_PER_SECOND 6
#define PROBE_TIMEOUT (2 * PD_SEC)
/*
 * An upstream that misses this many consecutive probes, each on a connection of
 * its own, is considered down. A single miss may be due to one bad connection.
 */
#define PROBES_MISSED_MAX 2
/* A notice must be this much earlier than the known one to count as new. */
#define NOTICE_ADVANCE_MIN (1 * PD_SEC)
/*
 * Notices are retained for this long after the VM should have gone, because the
 * list may show the VM as live for some time afterwards. Retained for ever,
 * notices would grow without bound, and a VM with a reused id would never get
 * work.
 */
#define NOTICE_TTL (60 * PD_SEC)

/* The reclaim notices of one VM. */
typedef struct notice {
	pd_time_t leaves_at; /* the earliest time: work must end by it */
	pd_time_t latest_leaves_at; /* until then the VM may exist */
} notice_t;
#define ALLOWANCE_GROWTH 1.5 /* factor for a report that shows capacity */
#define ALLOWANCE_DECAY 0.8
/*
 * The time constant of the smoothed estimate, whatever the rate of reports: a
 * busy engine reports with every answer, an idle one with every probe.
 */
#define OTHERS_LOAD_TIME_CONSTANT (20 * PD_SEC)

struct upstreams {
	char *entry_id;
	char *zone;
	unsigned int subset;
	pd_time_t next_probe_at;
	unsigned int subset_size; /* upstreams in the subset, all targets */
	list_node_t list;
	GHashTable *by_id; /* vm id -> upstream_t, owned */
	GHashTable *leaving; /* vm id -> notice_t, also of unlisted VMs */
};

/* Makes TO a deep copy of FROM. TO must not own anything yet. */
void vm_copy(vm_t *to, const vm_t *from)
{
	*to = *from;
	to->id = g_strdup(from->id);
	to->zone = g_strdup(from->zone);
	to->machine_class = g_strdup(from->machine_class);
	to->address = g_strdup(from->address);
	to->serves = g_strdup(from->serves);
	to->tag = g_strdup(from->tag);
}

/* Frees the strings of VM, not VM itself. */
void vm_clear(vm_t *vm)
{
	g_free(vm->id);
	g_free(vm->zone);
	g_free(vm->machine_class);
	g_free(vm->address);
	g_free(vm->serves);
	g_free(vm->tag);
}

/* Frees an upstream and unlinks it from the list. */
static void upstream_destroy(void *data)
{
	upstream_t *upstream = data;

	list_remove(&upstream->node);
	vm_clear(&upstream->vm);
	g_hash_table_unref(upstream->cached_prefixes);
	g_free(upstream);
}

/*
 * Returns an empty table for the entry ENTRY_ID in ZONE, which sends to at most
 * SUBSET upstreams for each model or service. The caller owns the table; the
 * strings are copied.
 */
upstreams_t *upstreams_create(const char *entry_id, const char *zone,
			      unsigned int subset)
{
	upstreams_t *upstreams = g_new0(upstreams_t, 1);

	upstreams->entry_id = g_strdup(entry_id);
	upstreams->zone = g_strdup(zone);
	upstreams->subset = subset;
	list_init(&upstreams->list);
	upstreams->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 upstream_destroy);
	upstreams->leaving =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return upstreams;
}

/* Frees the table; NULL is allowed. */
void upstreams_destroy(upstreams_t *upstreams)
{
	if (!upstreams)
		return;
	g_hash_table_unref(upstreams->by_id);
	g_hash_table_unref(upstreams->leaving);
	g_free(upstreams->entry_id);
	g_free(upstreams->zone);
	g_free(upstreams);
}

/*
 * Returns the head of the list of all upstreams, for reading; the subset is
 * first.
 */
list_node_t *upstreams_list(upstreams_t *upstreams)
{
	return &upstreams->list;
}

/* Returns the zone of this entry, borrowed. */
const char *upstreams_zone(const upstreams_t *upstreams)
{
	return upstreams->zone;
}

/* Returns the upstream of that VM, borrowed, or NULL. */
upstream_t *upstreams_find(const upstreams_t *upstreams, const char *vm_id)
{
	return g_hash_table_lookup(upstreams->by_id, vm_id);
}

/* Returns whether the upstream may get new work from this entry. */
bool upstream_is_usable(const upstream_t *upstream)
{
	return upstream->in_subset && upstream->listed && !upstream->leaving &&
	       upstream->missed_probes < PROBES_MISSED_MAX;
}

/*
 * Returns the estimated number of requests on the upstream: those of this
 * entry, which it knows, and those of others, estimated from reports.
 */
double upstream_load(const upstream_t *upstream)
{
	return upstream->running + upstream->others_load;
}

/*
 * Returns how many of ENTRIES entries send to one upstream on average; each
 * sends to its own subset only.
 */
double upstreams_senders_per_upstream(const upstreams_t *upstreams,
				      unsigned int entries)
{
	unsigned int all = g_hash_table_size(upstreams->by_id);

	return MAX((double)entries * upstreams->subset_size / MAX(all, 1), 1.0);
}

/* Counts an attempt that is sent. */
void upstream_record_send(upstream_t *upstream)
{
	upstream->running++;
	upstream->starting++;
}

/* Counts the first response to an attempt, or its end without one. */
void upstream_record_start(upstream_t *upstream)
{
	if (upstream->starting > 0)
		upstream->starting--;
}

/*
 * Returns how many tokens of a text with these prefixes the upstream's cache
 * probably holds. Cache events lag, so this is a hint that may be wrong.
 */
unsigned int upstream_cached_tokens(const upstream_t *upstream,
				    const uint64_t *prefixes, size_t count)
{
	size_t blocks = prefix_set_count_blocks(upstream->cached_prefixes,
						prefixes, count);

	return (unsigned int)(blocks * PREFIX_BLOCK_BYTES / PREFIX_BYTES_PER_TOKEN);
}

/* Counts the end of an attempt. */
void upstream_record_end(upstream_t *upstream)
{
	if (upstream->running > 0)
		upstream->running--;
}

/*
 * Raises the number of attempts that this entry may run on the upstream with
 * each report that shows capacity beyond its current ones. A load balancer may
 * send nearly all traffic to one entry; limited to a fixed share, that entry
 * would refuse callers while engines are idle.
 */
static void upstream_update_allowance(upstream_t *upstream, unsigned int load)
{
	if (load < upstream->vm.slots)
		upstream->allowance = MAX(upstream->allowance,
					  upstream->running * ALLOWANCE_GROWTH);
	if (upstream->running < upstream->allowance / 2)
		upstream->allowance *= ALLOWANCE_DECAY;
}

/*
 * Updates the estimate of the other entries' load from a report. A report lags
 * by up to seconds, so it includes attempts of this entry that have ended since
 * and lacks those sent since. Used as it is, it shows every entry the same
 * engine as empty, all send there together, and engines alternate between idle
 * and long queues. The remainder after subtracting this entry's own attempts,
 * smoothed over some reports, does not oscillate like that.
 */
static void upstream_update_load(upstream_t *upstream, unsigned int load,
				 pd_time_t now)
{
	double others_load = (double)load - upstream->running;
	double weight = MIN((double)(now - upstream->reported_at) /
				    OTHERS_LOAD_TIME_CONSTANT,
			    1.0);

	if (!upstream->reported_at)
		upstream->others_load = others_load;
	else
		upstream->others_load +=
			weight * (others_load - upstream->others_load);
	upstream->others_load = MAX(upstream->others_load, 0);
	upstream_update_allowance(upstream, load);
	upstream->others_load_peak +=
		weight * (upstream->others_load - upstream->others_load_peak);
	upstream->others_load_peak = MAX(upstream->others_load_peak, others_load);
}

/* Adds a listed VM to the table; returns its upstream, borrowed. */
static upstream_t *upstream_add(upstreams_t *upstreams, const vm_t *vm)
{
	upstream_t *upstream = g_new0(upstream_t, 1);
	const notice_t *notice;

	vm_copy(&upstream->vm, vm);
	upstream->cached_prefixes =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	upstream->rendezvous_weight = hash_pair(upstreams->entry_id, vm->id);
	list_append(&upstreams->list, &upstream->node);
	g_hash_table_insert(upstreams->by_id, upstream->vm.id, upstream);
	notice = g_hash_table_lookup(upstreams->leaving, vm->id);
	if (notice) {
		upstream->leaving = true;
		upstream->leaves_at = notice->leaves_at;
	}
	return upstream;
}

/* Updates the VM of an upstream: an engine may be assigned another model. */
static void upstream_set_vm(upstream_t *upstream, const vm_t *vm)
{
	/* The table's key is this id, so it must stay allocated. */
	char *id = g_steal_pointer(&upstream->vm.id);

	/* Prefixes are cached per model. */
	if (strcmp(upstream->vm.serves, vm->serves) != 0)
		g_hash_table_remove_all(upstream->cached_prefixes);
	vm_clear(&upstream->vm);
	vm_copy(&upstream->vm, vm);
	g_free(upstream->vm.id);
	upstream->vm.id = id;
}

/*
 * Orders upstreams by the name that they serve and then by descending weight.
 */
static gint compare_upstreams(gconstpointer a, gconstpointer b)
{
	const upstream_t *left = *(upstream_t *const *)a;
	const upstream_t *right = *(upstream_t *const *)b;
	int by_name = strcmp(left->vm.serves, right->vm.serves);

	if (by_name)
		return by_name;
	return left->rendezvous_weight < right->rendezvous_weight   ? 1
	       : left->rendezvous_weight > right->rendezvous_weight ? -1
								    : 0;
}

/*
 * Puts the SUBSET usable upstreams of the highest weight for each name into the
 * subset, and moves them to the front of the list.
 */
static void choose_subset(upstreams_t *upstreams)
{
	GPtrArray *all = g_ptr_array_new();
	const char *name = NULL;
	unsigned int subset_count = 0;

	LIST_FOR_EACH (it, &upstreams->list)
		g_ptr_array_add(all, LIST_ENTRY(it, upstream_t, node));
	g_ptr_array_sort(all, compare_upstreams);
	upstreams->subset_size = 0;
	for (guint i = 0; i < all->len; i++) {
		upstream_t *upstream = g_ptr_array_index(all, i);

		if (!name || strcmp(name, upstream->vm.serves)) {
			name = upstream->vm.serves;
			subset_count = 0;
		}
		upstream->in_subset = upstream->listed && !upstream->leaving &&
				      subset_count < upstreams->subset;
		if (upstream->in_subset)
			subset_count++;
		upstreams->subset_size += upstream->in_subset;
	}
	/*
	 * First in the list, so that routing walks the subset and not the
	 * fleet.
	 */
	for (guint i = 0; i < all->len; i++) {
		upstream_t *upstream = g_ptr_array_index(all, i);

		list_remove(&upstream->node);
		list_append(upstream->in_subset ? upstreams->list.next
						: &upstreams->list,
			    &upstream->node);
	}
	g_ptr_array_unref(all);
}

/* Returns whether an upstream is unlisted and has no attempts of this entry. */
static gboolean upstream_is_removable(void *key, void *value, void *data)
{
	const upstream_t *upstream = value;

	(void)key;
	(void)data;
	return !upstream->listed && upstream->running == 0;
}

/* Removes the notices of VMs that went long ago; see NOTICE_TTL. */
static void notices_expire(upstreams_t *upstreams, pd_time_t now)
{
	GHashTableIter it;
	void *vm_id;
	void *notice;

	g_hash_table_iter_init(&it, upstreams->leaving);
	while (g_hash_table_iter_next(&it, &vm_id, &notice)) {
		if (now - ((notice_t *)notice)->latest_leaves_at >= NOTICE_TTL &&
		    !upstreams_find(upstreams, vm_id))
			g_hash_table_iter_remove(&it);
	}
}

/*
 * Updates the table from a VM list, which is borrowed. VMs that are starting
 * are ignored. A VM that is listed as live does not undo an earlier notice,
 * because the list lags behind it.
 */
void upstreams_update(upstreams_t *upstreams, const vm_t *vms, size_t count,
		      pd_time_t now)
{
	LIST_FOR_EACH (it, &upstreams->list)
		LIST_ENTRY(it, upstream_t, node)->listed = false;
	for (size_t i = 0; i < count; i++) {
		upstream_t *upstream = upstreams_find(upstreams, vms[i].id);

		if (vms[i].state == VM_STARTING)
			continue;
		if (!upstream)
			upstream = upstream_add(upstreams, &vms[i]);
		else
			upstream_set_vm(upstream, &vms[i]);
		upstream->listed = true;
		if (vms[i].state == VM_LEAVING)
			upstreams_record_notice(upstreams, vms[i].id,
						now + vms[i].leaves_in);
	}
	g_hash_table_foreach_remove(upstreams->by_id, upstream_is_removable, NULL);
	notices_expire(upstreams, now);
	choose_subset(upstreams);
}

/*
 * Records the notice that a VM is reclaimed at LEAVES_AT. The VM need not be
 * known yet. Of several notices the earliest counts. Returns true if the notice
 * is new, and so worth gossiping. One that is only slightly earlier is not,
 * because a notice gets a little earlier or later at each entry that forwards
 * it, and would circulate for ever.
 */
bool upstreams_record_notice(upstreams_t *upstreams, const char *vm_id,
			     pd_time_t leaves_at)
{
	upstream_t *upstream = upstreams_find(upstreams, vm_id);
	notice_t *notice = g_hash_table_lookup(upstreams->leaving, vm_id);

	if (notice)
		notice->latest_leaves_at = MAX(notice->latest_leaves_at, leaves_at);
	if (notice && leaves_at > notice->leaves_at - NOTICE_ADVANCE_MIN)
		return false;
	if (!notice) {
		notice = g_new0(notice_t, 1);
		notice->latest_leaves_at = leaves_at;
		g_hash_table_insert(upstreams->leaving, g_strdup(vm_id), notice);
	}
	notice->leaves_at = leaves_at;
	if (upstream) {
		upstream->leaving = true;
		upstream->leaves_at = leaves_at;
		choose_subset(upstreams);
	}
	return true;
}

/*
 * Applies the cache events of a report. After a gap in the events the known
 * prefixes are retained: they are hints, and most of them still hold.
 */
static void upstream_update_cached_prefixes(upstream_t *upstream,
					    const load_report_t *report)
{
	for (size_t i = 0; i < report->cache_count; i++) {
		const cache_event_t *event = &report->cache[i];

		prefix_set_update(upstream->cached_prefixes, event->prefix,
				  event->held);
	}
}

/* Handles a load report, or the failure of a probe. */
void upstreams_record_report(upstreams_t *upstreams,
			     const load_report_t *report, pd_time_t now)
{
	upstream_t *upstream = upstreams_find(upstreams, report->vm_id);

	if (!upstream)
		return;
	upstream->probing = false;
	if (!report->answered) {
		upstream->missed_probes++;
		return;
	}
	upstream->missed_probes = 0;
	upstream_update_load(upstream, report->running + report->waiting, now);
	upstream->reported_at = now;
	upstream_update_cached_prefixes(upstream, report);
}

/* Appends a probe of the upstream. */
static void send_probe(upstream_t *upstream, pd_time_t now, list_node_t *actions)
{
	action_t *action = action_create(ACTION_PROBE);

	upstream->probing = true;
	upstream->probed_at = now;
	action->probe.vm_id = g_strdup(upstream->vm.id);
	action->probe.address = g_strdup(upstream->vm.address);
	action->probe.port = upstream->vm.port;
	list_append(actions, &action->node);
}

/* Counts a probe that timed out as missed. */
static void time_out_probe(upstream_t *upstream, pd_time_t now)
{
	if (!upstream->probing || now - upstream->probed_at < PROBE_TIMEOUT)
		return;
	upstream->missed_probes++;
	upstream->probing = false;
}

/*
 * Returns the upstream of the subset that was probed longest ago, borrowed, or
 * NULL.
 */
static upstream_t *next_upstream_to_probe(upstreams_t *upstreams)
{
	upstream_t *next = NULL;

	LIST_FOR_EACH (it, &upstreams->list) {
		upstream_t *upstream = LIST_ENTRY(it, upstream_t, node);

		if (!upstream->in_subset || upstream->probing)
			continue;
		if (!next || upstream->probed_at < next->probed_at)
			next = upstream;
	}
	return next;
}

/*
 * Appends a probe if one is due: of the upstream that was probed longest ago,
 * at most PROBES_PER_SECOND in all. Probes detect an upstream whose connections
 * accept bytes but never answer.
 */
void upstreams_probe(upstreams_t *upstreams, pd_time_t now, list_node_t *actions)
{
	upstream_t *next;

	LIST_FOR_EACH (it, &upstreams->list)
		time_out_probe(LIST_ENTRY(it, upstream_t, node), now);
	if (now < upstreams->next_probe_at)
		return;
	next = next_upstream_to_probe(upstreams);
	if (!next || (next->probed_at && now - next->probed_at < PROBE_PERIOD))
		return;
	upstreams->next_probe_at = now + PD_SEC / PROBES_PER_SECOND;
	send_probe(next, now, actions);
}
