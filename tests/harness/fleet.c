/* Starts and stops the processes of a fleet. */
#include "tests/harness/fleet.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib/gstdio.h>

#include "adapters/bundle_json.h"
#include "adapters/json.h"
#include "adapters/signing.h"
#include "core/hash.h"

#define CALL_TIMEOUT (40 * PD_SEC)
#define POLL_MS 5
#define ZONES 4

/* Returns the path of a program of the build; the caller owns it. */
static char *program_path(const char *name)
{
	const char *dir = g_getenv("B");

	return g_build_filename(dir ? dir : "build/release", name, NULL);
}

/* Returns the zone of the INDEX-th node of a kind; the caller owns it. */
static char *zone_name(unsigned int index)
{
	return g_strdup_printf("zone-%c", 'a' + (char)(index % ZONES));
}

static void on_poll_timer(uv_timer_t *timer)
{
	(void)timer;
}

/*
 * Runs the loop until the condition holds, for LIMIT_MS at most. Returns whether it
 * held.
 */
bool fleet_wait_ms(fleet_t *fleet, fleet_condition_t condition, void *ctx,
		   int64_t limit_ms)
{
	int64_t until = g_get_monotonic_time() + limit_ms * 1000;
	bool holds = condition(ctx);

	while (!holds && g_get_monotonic_time() < until) {
		uv_run(fleet->loop, UV_RUN_ONCE);
		holds = condition(ctx);
	}
	return holds;
}

/* Waits up to FLEET_WAIT_MS; fails the test if the condition doesn't hold by then. */
void fleet_wait(fleet_t *fleet, fleet_condition_t condition, void *ctx,
		const char *what)
{
	if (!fleet_wait_ms(fleet, condition, ctx, FLEET_WAIT_MS))
		fail_msg("gave up waiting for: %s", what);
}

typedef struct port_wait {
	fleet_node_t *node;
	const char *path;
	const char *prefix;
} port_wait_t;

static bool port_is_known(void *ctx)
{
	port_wait_t *wait = ctx;

	wait->node->port =
		process_read_port(wait->node->process, wait->path, wait->prefix);
	return wait->node->port != 0;
}

/*
 * Starts a node's process and waits for its port. Entries report it in their log,
 * stand-ins on standard output.
 */
static void node_start(fleet_t *fleet, fleet_node_t *node, const char *name,
		       unsigned int index, const char *const *argv, bool is_entry)
{
	port_wait_t wait = { node, NULL, is_entry ? "callers on port " : "port " };

	g_free(node->id);
	g_free(node->zone);
	process_destroy(node->process);
	node->id = g_strdup_printf("%s-%u", name, index + 1);
	node->zone = zone_name(index);
	{
		char *log = g_strdup_printf("%s/%s.log", fleet->dir, node->id);
		char *out = g_strdup_printf("%s/%s.out", fleet->dir, node->id);

		g_unlink(log);
		g_unlink(out);
		g_free(log);
		g_free(out);
	}
	node->process = process_start(fleet->dir, node->id, argv);
	wait.path = is_entry ? node->process->log_path : node->process->out_path;
	fleet_wait(fleet, port_is_known, &wait, "the port of a process");
}

/* Returns the port that entries use for a node. */
static int node_port(const fleet_node_t *node)
{
	return node->forwarder ? forwarder_port(node->forwarder) : node->port;
}

static void node_start_forwarder(fleet_t *fleet, fleet_node_t *node, bool forward)
{
	if (forward)
		node->forwarder = forwarder_create(fleet->loop, node->port);
}

/* Writes a settings file for an entry or placer; returns its path, owned. */
static char *write_settings(fleet_t *fleet, const char *id, const char *zone)
{
	char *path = g_strdup_printf("%s/%s.toml", fleet->dir, id);
	char *text = g_strdup_printf(
		"[node]\nid = \"%s\"\nzone = \"%s\"\n"
		"[platform]\naddress = \"127.0.0.1\"\nport = %d\n"
		"vm_list_period_ms = 200\n"
		"[callers]\nport = 0\n[peers]\nport = 0\n"
		"key_file = \"%s/peers.key\"\n"
		"[placer]\nzones = [\"zone-a\", \"zone-b\", \"zone-c\", "
		"\"zone-d\"]\n[bundle]\npublic_key_file = "
		"\"%s/operator.pub\"\n",
		id, zone, node_port(&fleet->platform), fleet->dir, fleet->dir);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(text);
	return path;
}

/* Starts an entry, or restarts it. */
void fleet_start_entry(fleet_t *fleet, unsigned int index)
{
	char *id = g_strdup_printf("entry-%u", index + 1);
	char *zone = zone_name(index);
	char *settings = write_settings(fleet, id, zone);
	char *program = program_path("pistachio-entry");
	const char *argv[] = { program, "--settings", settings, NULL };

	node_start(fleet, &fleet->entries[index], "entry", index, argv, true);
	g_free(id);
	g_free(zone);
	g_free(settings);
	g_free(program);
}

static void start_placer(fleet_t *fleet, unsigned int index)
{
	char *id = g_strdup_printf("placer-%u", index + 1);
	char *zone = zone_name(index);
	char *settings = write_settings(fleet, id, zone);
	char *program = program_path("pistachio-placer");
	const char *argv[] = { program, "--settings", settings, NULL };

	fleet->placers[index].id = id;
	fleet->placers[index].zone = zone;
	fleet->placers[index].process = process_start(fleet->dir, id, argv);
	g_free(settings);
	g_free(program);
}

static bool node_has_ended(void *ctx)
{
	return process_ended(((fleet_node_t *)ctx)->process);
}

/* Signals an entry and waits until its process has ended. */
void fleet_stop_entry(fleet_t *fleet, unsigned int index, int signum)
{
	process_signal(fleet->entries[index].process, signum);
	fleet_wait(fleet, node_has_ended, &fleet->entries[index],
		   "the end of an entry");
}

/* Adds a node to the platform's VM list. */
static void add_vm(fleet_t *fleet, const fleet_node_t *node, const char *role,
		   const char *serves, const char *slots)
{
	char *item = g_strdup_printf(
		"{\"id\":\"%s\",\"zone\":\"%s\",\"address\":\"127.0.0.1\","
		"\"port\":%d,\"role\":\"%s\",\"state\":\"live\","
		"\"serves\":\"%s\",\"slots\":%s,\"reclaimable\":true,"
		"\"machine_class\":\"any\"}",
		node->id, node->zone, node_port(node), role, serves, slots);

	fleet_post(fleet, fleet->platform.port, "/standin/vms", item);
	g_free(item);
}

static void start_upstreams(fleet_t *fleet)
{
	const fleet_config_t *config = &fleet->config;
	const char *slots = config->slots ? config->slots : "64";
	char *engine = program_path("standin-engine");
	char *service = program_path("standin-service");
	const char *engine_argv[] = { engine,
				      config->token_ms ? config->token_ms : "5",
				      "20", slots, NULL };
	const char *service_argv[] = { service,
				       config->work_ms ? config->work_ms : "5",
				       "0", NULL };

	for (unsigned int i = 0; i < config->engines; i++) {
		node_start(fleet, &fleet->engines[i], "engine", i, engine_argv,
			   false);
		node_start_forwarder(fleet, &fleet->engines[i],
				     config->forward_upstreams);
		add_vm(fleet, &fleet->engines[i], "model", "ledger-reader", slots);
	}
	for (unsigned int i = 0; i < config->services; i++) {
		node_start(fleet, &fleet->services[i], "service", i,
			   service_argv, false);
		node_start_forwarder(fleet, &fleet->services[i],
				     config->forward_upstreams);
		add_vm(fleet, &fleet->services[i], "service", "station-call", "64");
	}
	g_free(engine);
	g_free(service);
}

/* Returns the bundle's TOML; the caller owns it. */
static char *format_bundle(const fleet_t *fleet, uint64_t generation)
{
	char *line = signing_hash(FLEET_LINE_KEY, strlen(FLEET_LINE_KEY));
	char *office = signing_hash(FLEET_OFFICE_KEY, strlen(FLEET_OFFICE_KEY));
	char *text = g_strdup_printf(
		"[bundle]\ngeneration = %" G_GUINT64_FORMAT
		"\nname = \"test\"\n"
		"[models.ledger-reader]\ntimeout_ms = 30000\n"
		"[services.station-call]\npriority = \"urgent\"\n"
		"repeatable = false\ntimeout_ms = 10000\n"
		"[services.trace-lookup]\n"
		"[accounts.line]\nkey_hash = \"%s\"\n"
		"requests_per_second = 100000\nburst = 100000\n"
		"allow = [\"station-call\"]\n"
		"[accounts.office]\nkey_hash = \"%s\"\n"
		"requests_per_second = 100000\nburst = 100000\n"
		"allow = [\"ledger-reader\", \"trace-lookup\"]\n%s",
		generation, line, office,
		fleet->config.bundle_extra ? fleet->config.bundle_extra : "");

	g_free(line);
	g_free(office);
	return text;
}

/* Writes a signed bundle of that generation; returns its path, which the caller owns. */
char *fleet_sign_bundle(fleet_t *fleet, uint64_t generation)
{
	char *toml = g_strdup_printf("%s/bundle-%" G_GUINT64_FORMAT ".toml",
				     fleet->dir, generation);
	char *path = g_strdup_printf("%s/bundle-%" G_GUINT64_FORMAT ".signed",
				     fleet->dir, generation);
	char *secret_path = g_build_filename(fleet->dir, "operator.key", NULL);
	char *text = format_bundle(fleet, generation);
	char *secret = NULL;
	char *canonical;
	char *envelope;
	pd_error_t err;

	assert_true(g_file_get_contents(secret_path, &secret, NULL, NULL));
	assert_true(g_file_set_contents(toml, text, -1, NULL));
	canonical = bundle_canonical(toml, &err);
	assert_non_null(canonical);
	envelope = envelope_sign(canonical, secret, &err);
	assert_non_null(envelope);
	assert_true(g_file_set_contents(path, envelope, -1, NULL));
	g_free(toml);
	g_free(secret_path);
	g_free(text);
	g_free(secret);
	g_free(canonical);
	g_free(envelope);
	return path;
}

static bool process_has_ended(void *ctx)
{
	return process_ended(ctx);
}

/* Signs and rolls out a bundle of that generation with pistachioctl. */
void fleet_rollout(fleet_t *fleet, uint64_t generation)
{
	char *program = program_path("pistachioctl");
	char *signed_path = fleet_sign_bundle(fleet, generation);
	char *key = g_build_filename(fleet->dir, "operator.pub", NULL);
	char *platform = g_strdup_printf("127.0.0.1:%d", fleet->platform.port);
	const char *argv[] = { program, "rollout",    signed_path, "--key",
			       key,	"--platform", platform,	   NULL };
	process_t *process = process_start(fleet->dir, "rollout", argv);

	fleet_wait(fleet, process_has_ended, process, "a rollout");
	assert_int_equal(process->status, 0);
	fleet->generation = generation;
	process_destroy(process);
	g_free(program);
	g_free(signed_path);
	g_free(key);
	g_free(platform);
}

/* Returns true if an entry has the bundle and sees all members and upstreams. */
static bool entry_is_ready(fleet_t *fleet, unsigned int index)
{
	const fleet_config_t *config = &fleet->config;
	json_t *status = fleet_get(fleet, fleet->entries[index].port, "/status");
	bool ready = status && json_is_true(json_object_get(status, "ready")) &&
		     json_integer_or(status, "generation", 0) >=
			     (int64_t)fleet->generation &&
		     json_integer_or(status, "members_alive", 0) >=
			     (int64_t)config->entries &&
		     json_integer_or(status, "upstreams_usable", 0) >=
			     (int64_t)config->engines + config->services;

	json_decref(status);
	return ready;
}

static bool fleet_is_ready(void *ctx)
{
	fleet_t *fleet = ctx;

	for (unsigned int i = 0; i < fleet->config.entries; i++) {
		if (!entry_is_ready(fleet, i))
			return false;
	}
	return true;
}

/*
 * Waits until every entry is ready, has applied the last bundle and sees all members
 * and upstreams.
 */
void fleet_wait_ready(fleet_t *fleet)
{
	fleet_wait(fleet, fleet_is_ready, fleet, "every entry to be ready");
}

/* Writes the operator's key pair and the key that entries share. */
static void write_keys(fleet_t *fleet)
{
	char *public_path = g_build_filename(fleet->dir, "operator.pub", NULL);
	char *secret_path = g_build_filename(fleet->dir, "operator.key", NULL);
	char *public_key;
	char *secret_key;

	char *peers_path = g_build_filename(fleet->dir, "peers.key", NULL);
	char *peers_key = signing_random_key();

	assert_true(g_file_set_contents(peers_path, peers_key, -1, NULL));
	g_free(peers_path);
	g_free(peers_key);
	signing_keygen(&public_key, &secret_key);
	assert_true(g_file_set_contents(public_path, public_key, -1, NULL));
	assert_true(g_file_set_contents(secret_path, secret_key, -1, NULL));
	g_free(public_path);
	g_free(secret_path);
	g_free(public_key);
	g_free(secret_key);
}

/*
 * Starts a fleet and waits until every entry has applied a bundle of generation 1.
 * The caller destroys it.
 */
fleet_t *fleet_create(const fleet_config_t *config)
{
	fleet_t *fleet = g_new0(fleet_t, 1);
	char *platform = program_path("standin-platform");
	const char *argv[] = { platform, NULL };
	pd_error_t err;

	signal(SIGPIPE, SIG_IGN);
	assert_int_equal(signing_init(&err), 0);
	fleet->config = *config;
	fleet->dir = g_dir_make_tmp("pistachio-test-XXXXXX", NULL);
	fleet->loop = g_new0(uv_loop_t, 1);
	uv_loop_init(fleet->loop);
	/* Wakes the loop so that conditions are evaluated without other events. */
	uv_timer_init(fleet->loop, &fleet->poll_timer);
	uv_timer_start(&fleet->poll_timer, on_poll_timer, POLL_MS, POLL_MS);
	fleet->client = http_client_create(fleet->loop, CALL_TIMEOUT);
	write_keys(fleet);
	node_start(fleet, &fleet->platform, "platform", 0, argv, false);
	node_start_forwarder(fleet, &fleet->platform, config->forward_platform);
	start_upstreams(fleet);
	for (unsigned int i = 0; i < config->entries; i++)
		fleet_start_entry(fleet, i);
	for (unsigned int i = 0; i < config->placers; i++)
		start_placer(fleet, i);
	fleet_rollout(fleet, 1);
	fleet_wait_ready(fleet);
	g_free(platform);
	return fleet;
}

static void node_clear(fleet_node_t *node)
{
	process_destroy(node->process);
	g_free(node->id);
	g_free(node->zone);
}

static void remove_dir(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

/* Kills all processes of the fleet and removes its files. */
void fleet_destroy(fleet_t *fleet)
{
	for (unsigned int i = 0; i < FLEET_NODES_MAX; i++) {
		node_clear(&fleet->entries[i]);
		node_clear(&fleet->placers[i]);
		node_clear(&fleet->engines[i]);
		node_clear(&fleet->services[i]);
	}
	node_clear(&fleet->platform);
	remove_dir(fleet->dir);
	g_free(fleet->dir);
	g_free(fleet);
}
