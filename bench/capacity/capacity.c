/*
 * Measures the resources that an idle entry uses, by the size of the fleet, of
 * the VM list and of the bundle, and the cost of a relayed token. Prints CSV and
 * fits a line to each series; docs/CAPACITY.md extrapolates the slopes to the
 * planned size.
 */
#include <math.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "adapters/json.h"
#include "tests/harness/fleet.h"

#define MEASURE_MS 10000
/* Updates about a start are retransmitted for a while; this excludes them. */
#define SETTLE_MS 20000
#define SERIES_POINTS_MAX 16
#define STREAM_COUNT 200
#define STREAM_TOKENS 400

/* A series of points, and the unit of its slope. */
typedef struct series {
	const char *name;
	const char *unit;
	double x[SERIES_POINTS_MAX];
	double y[SERIES_POINTS_MAX];
	int count;
} series_t;

/* The resources that one entry has used so far. */
typedef struct usage {
	double cpu_s;
	double rss_kb;
	double peer_bytes;
	double calls; /* platform reads and writes of all entries */
} usage_t;

/* Returns the CPU time of a process in seconds, or 0 on error. */
static double read_cpu(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
	char *text = NULL;
	unsigned long user = 0;
	unsigned long system = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		const char *rest = strrchr(text, ')');

		if (rest && sscanf(rest,
				   ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u "
				   "%*u %lu %lu",
				   &user, &system) != 2)
			user = 0;
	}
	g_free(text);
	g_free(path);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

/* Returns the resident set size of a process in kB, or 0 on error. */
static double read_rss(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/statm", (int)pid);
	char *text = NULL;
	unsigned long pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL) &&
	    sscanf(text, "%*u %lu", &pages) != 1)
		pages = 0;
	g_free(text);
	g_free(path);
	return (double)pages * (double)sysconf(_SC_PAGESIZE) / 1024;
}

/* Returns the value of a metric, or 0 if the node does not export it. */
static double read_metric(fleet_t *fleet, int port, const char *name)
{
	call_t *call = call_start(fleet, port, "GET", "/metrics", NULL, NULL,
				  NULL, NULL);
	const char *at;
	double value = 0;

	call_wait(call);
	at = strstr(call->body->str, name);
	if (at)
		value = g_ascii_strtod(at + strlen(name), NULL);
	call_destroy(call);
	return value;
}

/* Returns the current resource usage of the first entry. */
static usage_t read_usage(fleet_t *fleet)
{
	const fleet_node_t *entry = &fleet->entries[0];
	json_t *counts = fleet_get(fleet, fleet->platform.port, "/standin/counts");
	usage_t usage = {
		.cpu_s = read_cpu(entry->process->pid),
		.rss_kb = read_rss(entry->process->pid),
		.peer_bytes = read_metric(fleet, entry->port,
					  "pistachio_peer_bytes_total "),
		.calls = (double)(json_integer_or(counts, "reads", 0) +
				  json_integer_or(counts, "writes", 0)),
	};

	json_decref(counts);
	return usage;
}

/* Returns false, as a condition that never holds. */
static bool never(void *ctx)
{
	(void)ctx;
	return false;
}

/* Runs the fleet for MS milliseconds. */
static void run_for(fleet_t *fleet, int64_t ms)
{
	fleet_wait_ms(fleet, never, NULL, ms);
}

/* Adds a point to a series and prints it. */
static void series_add(series_t *series, double x, double y)
{
	series->x[series->count] = x;
	series->y[series->count++] = y;
	printf("%s,%.0f,%.4f\n", series->name, x, y);
	fflush(stdout);
}

/* Fits a line by least squares, and prints slope, intercept and r2. */
static void series_fit(const series_t *series)
{
	double n = series->count;
	double sx = 0, sy = 0, sxx = 0, sxy = 0, syy = 0;
	double slope;
	double intercept;
	double spread;
	double correlation;

	for (int i = 0; i < series->count; i++) {
		sx += series->x[i];
		sy += series->y[i];
		sxx += series->x[i] * series->x[i];
		sxy += series->x[i] * series->y[i];
		syy += series->y[i] * series->y[i];
	}
	slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	intercept = (sy - slope * sx) / n;
	spread = (n * sxx - sx * sx) * (n * syy - sy * sy);
	correlation = spread > 0 ? (n * sxy - sx * sy) / sqrt(spread) : 1;
	printf("slope,%s,%.6g,%s,base,%.4g,r2,%.3f\n", series->name, slope,
	       series->unit, intercept, correlation * correlation);
}

/*
 * Adds to each series the idle cost of one entry. BYTES and CALLS may be NULL.
 */
static void measure_idle_cost(fleet_t *fleet, double size, series_t *cpu,
			      series_t *bytes, series_t *calls, series_t *rss)
{
	double seconds = MEASURE_MS / 1000.0;
	usage_t before;
	usage_t after;

	run_for(fleet, SETTLE_MS);
	before = read_usage(fleet);
	run_for(fleet, MEASURE_MS);
	after = read_usage(fleet);
	series_add(cpu, size, (after.cpu_s - before.cpu_s) / seconds * 100);
	if (bytes)
		series_add(bytes, size,
			   (after.peer_bytes - before.peer_bytes) / seconds);
	if (calls)
		series_add(calls, size, (after.calls - before.calls) / seconds);
	series_add(rss, size, after.rss_kb);
}

/* Measures the idle cost by the number of entries. */
static void measure_fleets(void)
{
	static const unsigned int sizes[] = { 6, 12, 24, 48 };
	series_t cpu = { .name = "fleet_cpu_percent", .unit = "%/entry" };
	series_t bytes = { .name = "fleet_peer_bytes_s", .unit = "B/s/entry" };
	series_t calls = { .name = "fleet_platform_calls_s",
			   .unit = "calls/s/entry" };
	series_t rss = { .name = "fleet_rss_kb", .unit = "kB/entry" };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		const fleet_config_t config = { .entries = sizes[i], .engines = 4 };
		fleet_t *fleet = fleet_create(&config);

		measure_idle_cost(fleet, sizes[i], &cpu, &bytes, &calls, &rss);
		fleet_destroy(fleet);
	}
	series_fit(&cpu);
	series_fit(&bytes);
	series_fit(&calls);
	series_fit(&rss);
}

/* Adds VMs FROM to TO - 1 to the VM list of the platform. */
static void add_vms(fleet_t *fleet, unsigned int from, unsigned int to)
{
	for (unsigned int i = from; i < to; i++) {
		char *vm = g_strdup_printf(
			"{\"id\":\"extra-%u\",\"zone\":\"zone-%c\","
			"\"address\":\"127.0.0.1\",\"port\":%d,"
			"\"role\":\"model\",\"state\":\"live\","
			"\"serves\":\"ledger-reader\",\"slots\":8,"
			"\"reclaimable\":true,\"machine_class\":\"any\"}",
			i, 'a' + (char)(i % 4), fleet->engines[0].port);

		fleet_post(fleet, fleet->platform.port, "/standin/vms", vm);
		g_free(vm);
	}
}

/* Measures the idle cost by the length of the VM list. */
static void measure_lists(void)
{
	static const unsigned int sizes[] = { 18, 100, 400, 790 };
	const fleet_config_t config = { .entries = 1, .engines = 1 };
	fleet_t *fleet = fleet_create(&config);
	series_t cpu = { .name = "list_cpu_percent", .unit = "%/upstream" };
	series_t rss = { .name = "list_rss_kb", .unit = "kB/upstream" };
	unsigned int vm_count = 1;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		add_vms(fleet, vm_count, sizes[i]);
		vm_count = sizes[i];
		measure_idle_cost(fleet, sizes[i], &cpu, NULL, NULL, &rss);
	}
	fleet_destroy(fleet);
	series_fit(&cpu);
	series_fit(&rss);
}

/*
 * Returns TOML with enough models for a bundle of about KILOBYTES. The caller
 * owns it.
 */
static char *make_filler_models(unsigned int kilobytes)
{
	GString *text = g_string_new(NULL);

	for (unsigned int i = 0; text->len < (gsize)kilobytes * 1024; i++)
		g_string_append_printf(text,
				       "[models.filler-%u]\n"
				       "priority = \"batch\"\n"
				       "timeout_ms = 60000\n"
				       "machine_class = \"class-%u\"\n",
				       i, i);
	return g_string_free(text, FALSE);
}

typedef struct bundle_wait {
	fleet_t *fleet;
	uint64_t generation;
} bundle_wait_t;

/*
 * Returns whether every entry has applied the generation of CTX, a
 * bundle_wait_t.
 */
static bool is_bundle_applied(void *ctx)
{
	bundle_wait_t *wait = ctx;

	for (unsigned int i = 0; i < wait->fleet->config.entries; i++) {
		json_t *status = fleet_get(wait->fleet,
					   wait->fleet->entries[i].port,
					   "/status");
		int64_t generation = json_integer_or(status, "generation", 0);

		json_decref(status);
		if (generation < (int64_t)wait->generation)
			return false;
	}
	return true;
}

/*
 * Measures the time of a rollout to all entries, and the memory, by bundle
 * size.
 */
static void measure_bundles(void)
{
	static const unsigned int sizes[] = { 10, 100, 300, 700 };
	const fleet_config_t config = { .entries = 6, .engines = 1 };
	fleet_t *fleet = fleet_create(&config);
	series_t time = { .name = "bundle_in_force_ms", .unit = "ms/KB" };
	series_t rss = { .name = "bundle_rss_kb", .unit = "kB/KB" };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		bundle_wait_t wait = { fleet, i + 2 };
		char *extra = make_filler_models(sizes[i]);
		int64_t began;

		fleet->config.bundle_extra = extra;
		fleet_rollout(fleet, wait.generation);
		began = g_get_monotonic_time();
		fleet_wait(fleet, is_bundle_applied, &wait, "the bundle");
		series_add(&time, sizes[i],
			   (double)(g_get_monotonic_time() - began) / 1000);
		series_add(&rss, sizes[i],
			   read_rss(fleet->entries[0].process->pid));
		fleet->config.bundle_extra = NULL;
		g_free(extra);
	}
	fleet_destroy(fleet);
	series_fit(&time);
	series_fit(&rss);
}

/* Returns whether all calls of CTX have ended. */
static bool calls_done(void *ctx)
{
	call_t **calls = ctx;

	for (int i = 0; i < STREAM_COUNT; i++) {
		if (calls[i] && !calls[i]->done)
			return false;
	}
	return true;
}

/*
 * Relays concurrent streams, and measures CPU time per token and memory per
 * stream.
 */
static void measure_streams(void)
{
	static const int sizes[] = { 50, 100, 200 };
	const fleet_config_t config = {
		.entries = 1, .engines = 4, .token_ms = "10", .slots = "100"
	};
	fleet_t *fleet = fleet_create(&config);
	series_t cpu = { .name = "relay_cpu_s", .unit = "s/token" };
	series_t rss = { .name = "stream_rss_kb", .unit = "kB/stream" };
	pid_t pid = fleet->entries[0].process->pid;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		call_t *calls[STREAM_COUNT] = { NULL };
		double before = read_cpu(pid);
		double rss_under_load;

		for (int k = 0; k < sizes[i]; k++)
			calls[k] = completion_start(fleet, fleet->entries[0].port,
						    "page", STREAM_TOKENS, true);
		run_for(fleet, 2000);
		rss_under_load = read_rss(pid);
		fleet_wait(fleet, calls_done, calls, "the streams");
		series_add(&cpu, sizes[i] * STREAM_TOKENS, read_cpu(pid) - before);
		series_add(&rss, sizes[i], rss_under_load);
		for (int k = 0; k < sizes[i]; k++)
			call_destroy(calls[k]);
	}
	fleet_destroy(fleet);
	series_fit(&cpu);
	series_fit(&rss);
}

int main(void)
{
	printf("series,size,value\n");
	measure_fleets();
	measure_lists();
	measure_bundles();
	measure_streams();
	return 0;
}
