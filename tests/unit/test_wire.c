/* Tests of the conversion between the platform's wire format and our types. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "platform/wire.h"

static forward_call_t *parse_call(const header_t *headers, size_t count)
{
	return wire_call_parse("POST", "/a/b?c", headers, count);
}

/*
 * Guards against a caller that sets reserved headers: its request would run for
 * another account or reserve engine memory, or its API key would be forwarded.
 */
static void test_reserved_headers_are_dropped(void **state)
{
	const header_t headers[] = {
		{ "Host", "h" },
		{ "X-Tenant", "other" },
		{ "Authorization", "Bearer k1" },
		{ "X-Hold", "1" },
		{ "X-Pin-Ms", "1" },
		{ "X-Kv-Backup", "1.2.3.4:5" },
		{ "Kv-From", "x" },
		{ "X-Request-Priority", "0" },
		{ "X-Expect-Instance", "i" },
		{ "Connection", "close, X-Mine" },
		{ "X-Mine", "1" },
		{ "X-Other", "2" },
	};
	forward_call_t *call = parse_call(headers, G_N_ELEMENTS(headers));

	(void)state;
	assert_string_equal(call->headers->str, "Host: h\r\nX-Other: 2\r\n");
	assert_string_equal(call->api_key, "k1");
	forward_call_destroy(call);
}

static void test_call_is_parsed(void **state)
{
	const header_t headers[] = {
		{ "Host", "h" },
		{ "X-Attempt-Id", "9c41" },
		{ "X-Deadline-Ms", "1500" },
		{ "X-Token-Count", "1460,80" },
		{ "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410" },
		{ "Last-Event-Id", "12" },
	};
	forward_call_t *call = parse_call(headers, G_N_ELEMENTS(headers));

	(void)state;
	assert_string_equal(call->id, "9c41");
	assert_string_equal(call->resume_after, "12");
	assert_int_equal(call->time_left, 1500 * PD_MSEC);
	assert_int_equal(call->prompt_tokens, 1460);
	assert_int_equal(call->output_tokens, 80);
	assert_int_equal(call->part_count, 2);
	assert_int_equal(call->parts[1].id, 0x91bd3f06);
	assert_int_equal(call->parts[1].tokens, 410);
	forward_call_destroy(call);
}

/* Guards against reading beyond the end of a malformed header. */
static void test_invalid_prompt_parts_are_ignored(void **state)
{
	static const char *const bad[] = { "",	    ",",   ":",	     "zz:1",
					   "1:",    "1:x", "1",	     "1:2,",
					   "1:2,3", "::",  ",,1:2,", "-1:-1" };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		const header_t header = { "X-Prompt-Prefix", bad[i] };
		forward_call_t *call = parse_call(&header, 1);

		assert_true(call->part_count <= 1);
		forward_call_destroy(call);
	}
}

static void test_call_is_formatted(void **state)
{
	const header_t headers[] = { { "Host", "h" }, { "X-Attempt-Id", "9" } };
	forward_call_t *call = parse_call(headers, G_N_ELEMENTS(headers));
	const wire_attempt_t attempt = { .time_left = 1200 * PD_MSEC,
					 .account = "mill",
					 .upstream_id = "i-1",
					 .resume_after = "7",
					 .priority = 2,
					 .body_len = 3,
					 .has_body = true };
	GString *out = g_string_new(NULL);

	(void)state;
	wire_call_format(out, call, &attempt);
	assert_string_equal(out->str, "POST /a/b?c HTTP/1.1\r\n"
				      "Host: h\r\n"
				      "X-Attempt-Id: 9\r\n"
				      "X-Deadline-Ms: 1200\r\n"
				      "X-Expect-Instance: i-1\r\n"
				      "X-Tenant: mill\r\n"
				      "Last-Event-Id: 7\r\n"
				      "X-Request-Priority: 2\r\n"
				      "Content-Length: 3\r\n\r\n");
	g_string_free(out, TRUE);
	forward_call_destroy(call);
}

static const char config_text[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"H.example\","
	"\"pathPrefix\":\"/a/\",\"kind\":\"stream\",\"timeoutMs\":15000,"
	"\"goalMs\":600,\"priority\":1,\"split\":[{\"service\":\"s\","
	"\"weight\":90},{\"service\":\"t\",\"weight\":10}],"
	"\"maxAttempts\":2,\"public\":true,\"sticky\":true,"
	"\"resumable\":true,\"gapGoalMs\":250}],\"services\":[{\"name\":\"s\","
	"\"maxConns\":480,\"engine\":{\"slots\":96,\"kvCapacity\":1000,"
	"\"moves\":true},\"scaling\":{\"min\":1,\"max\":6,\"bootS\":4.0,"
	"\"spotPrice\":0.22,\"zonePrices\":{\"a\":1.0,\"b\":0.8}}}],"
	"\"limits\":{\"maxHeaderBytes\":100,\"maxBodyBytes\":200,"
	"\"headerTimeoutMs\":300,\"idleTimeoutMs\":400},\"tenants\":["
	"{\"name\":\"mill\",\"apiKeys\":[\"k\"],\"priority\":0,"
	"\"unit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":10,"
	"\"burst\":20}]}";

static void test_configuration_is_parsed(void **state)
{
	pd_error_t err;
	forward_config_t *config =
		wire_config_parse(config_text, strlen(config_text), &err);
	const forward_route_t *route;
	const forward_service_t *service;
	const forward_account_t *account;

	(void)state;
	assert_non_null(config);
	assert_int_equal(config->version, 7);
	assert_int_equal(config->body_bytes_max, 200);
	assert_int_equal(config->idle_timeout, 400 * PD_MSEC);
	route = forward_config_route(config, "h.example", "/a/x");
	assert_int_equal(route->kind, FORWARD_STREAM);
	assert_int_equal(route->timeout, 15 * PD_SEC);
	assert_true(route->resumable && route->is_public && route->has_prompt);
	assert_string_equal(forward_route_pick_service(route, 0.95), "t");
	service = forward_config_service(config, "s");
	assert_true(service->is_engine && service->autoscaled);
	assert_int_equal(service->boot_time, 4 * PD_SEC);
	assert_true(forward_service_price(service, "b") == 0.8);
	account = forward_config_account(config, "k");
	assert_true(account->limits_tokens);
	assert_true(account->rate == 10 && account->burst == 20);
	forward_config_unref(config);
}

/* A request on a route of unknown kind must not be retried. */
static void test_unknown_route_kind_is_unsafe(void **state)
{
	static const char text[] = "{\"version\":1,\"routes\":[{\"host\":\"h\","
				   "\"pathPrefix\":\"/\",\"kind\":\"new\"}]}";
	pd_error_t err;
	forward_config_t *config = wire_config_parse(text, strlen(text), &err);

	(void)state;
	assert_int_equal(forward_config_route(config, "h", "/")->kind,
			 FORWARD_UNSAFE);
	forward_config_unref(config);
}

/* Every proper prefix of a configuration is rejected as invalid input. */
static void test_truncated_configuration_is_rejected(void **state)
{
	(void)state;
	for (size_t len = 0; len < strlen(config_text); len++) {
		pd_error_t err;

		assert_null(wire_config_parse(config_text, len, &err));
		assert_int_equal(err.kind, PD_ERROR_INPUT);
	}
}

static void test_list_and_watch_are_parsed(void **state)
{
	static const char list[] =
		"{\"items\":[{\"metadata\":{\"name\":\"i-1\",\"revision\":4},"
		"\"spec\":{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
		"\"zone\":\"a\",\"slots\":6,\"state\":\"draining\","
		"\"preemptible\":true}}],\"hasMore\":true,\"asOf\":9}";
	static const char watch[] =
		"{\"events\":[{\"tombstone\":true,\"object\":{\"metadata\":"
		"{\"name\":\"i-1\",\"revision\":4}}}],\"asOf\":12}";
	forward_registration_t registration;
	pd_error_t err;
	wire_page_t *page = wire_page_parse(list, strlen(list), &err);

	(void)state;
	assert_int_equal(wire_page_revision(page), 9);
	assert_true(wire_page_has_more(page));
	assert_int_equal(wire_page_parse_upstream(page, 0, &registration, &err), 0);
	assert_string_equal(registration.address, "10.0.0.9");
	assert_int_equal(registration.port, 80);
	assert_int_equal(registration.stage, FORWARD_DRAINING);
	assert_true(registration.reclaimable);
	wire_page_destroy(page);
	page = wire_page_parse(watch, strlen(watch), &err);
	assert_true(wire_page_is_removed(page, 0));
	/* A new registration between the two revisions must not look older. */
	assert_int_equal(wire_page_object_revision(page, 0), 4);
	assert_int_equal(wire_page_revision(page), 12);
	assert_string_equal(wire_page_name(page, 0), "i-1");
	wire_page_destroy(page);
}

#define VALID_ENTRY(name)                                                 \
	"{\"metadata\":{\"name\":\"" name "\",\"revision\":4},\"spec\":{" \
	"\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\","   \
	"\"slots\":6,\"state\":\"ready\",\"born\":1775915655123}}"

/*
 * Parses a page of three registrations, checks the first and last, which are
 * valid, and returns the result of parsing the middle one, whose spec is SPEC.
 */
static int parse_middle_entry(const char *spec, size_t len,
			      forward_registration_t *middle, pd_error_t *err)
{
	static const char head[] = "{\"items\":[" VALID_ENTRY(
		"i-1") ",{\"metadata\":"
		       "{\"name\":\"i-2\",\"revision\":5},\"spec\":";
	static const char tail[] = "}," VALID_ENTRY("i-3") "],\"asOf\":9}";
	GString *text = g_string_new(head);
	forward_registration_t valid;
	wire_page_t *page;
	int rc;

	g_string_append_len(text, spec, (gssize)len);
	g_string_append(text, tail);
	page = wire_page_parse(text->str, text->len, err);
	assert_non_null(page);
	assert_int_equal(wire_page_revision(page), 9);
	assert_int_equal(wire_page_count(page), 3);
	for (size_t i = 0; i < 3; i += 2) {
		assert_int_equal(wire_page_parse_upstream(page, i, &valid, err), 0);
		assert_int_equal(valid.slots, 6);
		assert_int_equal(valid.revision, 4);
		assert_int_equal(valid.start_time_ms, 1775915655123);
	}
	assert_string_equal(valid.id, "i-3");
	assert_string_equal(wire_page_name(page, 1), "i-2");
	rc = wire_page_parse_upstream(page, 1, middle, err);
	wire_page_destroy(page);
	g_string_free(text, TRUE);
	return rc;
}

/*
 * Guards against a registration that another client wrote, with members missing,
 * of other types, or an unknown state: requests sent there would get no response.
 * The registrations next to it must stay usable.
 */
static void test_invalid_registration_is_rejected(void **state)
{
	static const char *const invalid[] = {
		"null",
		"7",
		"\"x\"",
		"[]",
		"{}",
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
		"\"slots\":1}",
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
		"\"slots\":1,\"state\":\"tired\"}",
		"{\"service\":7,\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
		"\"slots\":1,\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"1.2.3.4\",\"zone\":\"a\","
		"\"slots\":1,\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5x\",\"zone\":\"a\","
		"\"slots\":1,\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
		"\"slots\":\"1\",\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
		"\"slots\":-1,\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
		"\"slots\":1,\"state\":\"ready\",\"born\":\"today\"}",
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
		"\"slots\":1,\"state\":\"ready\",\"born\":0.5}",
	};
	forward_registration_t registration;
	pd_error_t err;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		assert_int_equal(parse_middle_entry(invalid[i], strlen(invalid[i]),
						    &registration, &err),
				 -1);
		assert_int_equal(err.kind, PD_ERROR_INPUT);
	}
}

/* Parses the only entry of a page, an order named "s" with the rest as given. */
static int parse_order(const char *rest, rollout_order_t *order, pd_error_t *err)
{
	char *text =
		g_strdup_printf("{\"items\":[{\"metadata\":{\"name\":\"s\","
				"\"revision\":4},%s}],\"asOf\":9}",
				rest);
	wire_page_t *page = wire_page_parse(text, strlen(text), err);
	int rc;

	assert_non_null(page);
	rc = wire_page_parse_rollout(page, 0, order, err);
	wire_page_destroy(page);
	g_free(text);
	return rc;
}

#define VALID_ORDER "\"spec\":{\"service\":\"s\",\"to\":\"v\",\"periodS\":1.5}"

/* Guards against orders written by hand that would begin a roll-out by chance. */
static void test_invalid_order_is_rejected(void **state)
{
	static const char *const invalid[] = {
		"\"spec\":null",
		"\"spec\":[]",
		"\"spec\":{}",
		"\"status\":{}",
		"\"spec\":{\"service\":\"t\",\"to\":\"v\",\"periodS\":1}",
		"\"spec\":{\"service\":7,\"to\":\"v\",\"periodS\":1}",
		"\"spec\":{\"service\":\"s\",\"to\":\"\",\"periodS\":1}",
		"\"spec\":{\"service\":\"s\",\"to\":null,\"periodS\":1}",
		"\"spec\":{\"service\":\"s\",\"to\":\"\xff\",\"periodS\":1}",
		"\"spec\":{\"service\":\"s\",\"to\":\"v\"}",
		"\"spec\":{\"service\":\"s\",\"to\":\"v\",\"periodS\":0}",
		"\"spec\":{\"service\":\"s\",\"to\":\"v\",\"periodS\":-1}",
		"\"spec\":{\"service\":\"s\",\"to\":\"v\",\"periodS\":\"1\"}",
		"\"spec\":{\"service\":\"s\",\"to\":\"v\",\"periodS\":1e300}",
		"\"spec\":{\"service\":\"s\",\"to\":\"v\",\"periodS\":1e-9}",
	};
	rollout_order_t order;
	pd_error_t err;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		if (!parse_order(invalid[i], &order, &err))
			fail_msg("accepted: %s", invalid[i]);
		assert_int_equal(err.kind, PD_ERROR_INPUT);
	}
	assert_int_equal(parse_order(VALID_ORDER, &order, &err), 0);
	assert_int_equal(order.period, 1500 * PD_MSEC);
	assert_int_equal(order.revision, 4);
}

/* Guards against a status of another version, or an unknown one, that ends an order. */
static void test_only_valid_status_of_its_version_counts(void **state)
{
	static const char *const ignored[] = {
		"",
		",\"status\":7",
		",\"status\":{\"state\":\"completed\"}",
		",\"status\":{\"state\":\"completed\",\"to\":\"u\"}",
		",\"status\":{\"state\":\"done\",\"to\":\"v\"}",
		",\"status\":{\"state\":[],\"to\":\"v\"}",
	};
	rollout_order_t order;
	pd_error_t err;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(ignored); i++) {
		char *text = g_strconcat(VALID_ORDER, ignored[i], NULL);

		assert_int_equal(parse_order(text, &order, &err), 0);
		assert_false(order.has_state);
		g_free(text);
	}
	assert_int_equal(parse_order(VALID_ORDER
				     ",\"status\":{\"state\":"
				     "\"rolled_back\",\"to\":\"v\"}",
				     &order, &err),
			 0);
	assert_true(order.has_state);
	assert_int_equal(order.state, ROLLOUT_ROLLED_BACK);
}

/*
 * A registration has invalid UTF-8, lone surrogates or numbers out of range. The
 * JSON library rejects a whole page for one such string; a gateway would then
 * know of no upstream and refuse every request.
 */
static void test_invalid_text_affects_only_its_entry(void **state)
{
	static const char *const bytes[] = {
		"\xff\xfe", "\xc3",	      "\xed\xa0\x80",
		"\\ud800",  "\\udc00\\ud800", "\\u0000x",
		"a\x01z",   "a\nz",	      "\\\\\xf8",
	};
	forward_registration_t registration;
	pd_error_t err;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bytes); i++) {
		char *spec = g_strdup_printf("{\"service\":\"s\",\"address\":"
					     "\"1.2.3.4:5\",\"zone\":\"%s\","
					     "\"slots\":1,\"state\":\"tired\"}",
					     bytes[i]);

		assert_int_equal(parse_middle_entry(spec, strlen(spec),
						    &registration, &err),
				 -1);
		g_free(spec);
	}
	assert_int_equal(parse_middle_entry("\"\0\"", 3, &registration, &err), -1);
	assert_int_equal(parse_middle_entry("{\"slots\":99999999999999999999}",
					    30, &registration, &err),
			 -1);
	assert_int_equal(parse_middle_entry("{\"slots\":1,\"slots\":2}", 21,
					    &registration, &err),
			 -1);
}

/* A value of another writer that the JSON library rejects must not hide its page. */
static void test_unreadable_value_affects_only_its_entry(void **state)
{
	static const char *const values[] = {
		"1e999",
		"-1e400",
		"1e-999",
		"99999999999999999999",
		"[1,{\"a\":-1e999}]",
		"NaN",
		"-Infinity",
		"nul",
		"\xff",
		"01",
		"\"\\q\"",
		"\"\\u12\"",
		"{\"\\u0000\":1}",
		"{\"a\":1,\"a\":2}",
		"{\"a\",7:8,:,{}}",
		"[1,,2 3,{]}]",
		"4 5",
		"",
	};
	forward_registration_t registration;
	pd_error_t err;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		char *spec =
			g_strdup_printf("{\"service\":\"s\",\"address\":"
					"\"1.2.3.4:5\",\"zone\":\"a\","
					"\"slots\":%s,\"state\":\"ready\"}",
					values[i]);

		assert_int_equal(parse_middle_entry(spec, strlen(spec),
						    &registration, &err),
				 -1);
		assert_int_equal(registration.revision, 5);
		g_free(spec);
	}
	assert_int_equal(parse_middle_entry("\0", 1, &registration, &err), -1);
}

/* The JSON library rejects a page with an entry that has more levels than it allows. */
static void test_deep_entry_affects_only_itself(void **state)
{
	static const unsigned int depths[] = { 10, 100, 2048, 100000 };
	forward_registration_t registration;
	pd_error_t err;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(depths); i++) {
		GString *spec = g_string_new(NULL);

		for (unsigned int k = 0; k < depths[i]; k++)
			g_string_append(spec, k % 2 ? "{\"a\":" : "[");
		g_string_append(spec, "1e999");
		for (unsigned int k = depths[i]; k-- > 0;)
			g_string_append_c(spec, k % 2 ? '}' : ']');
		assert_int_equal(parse_middle_entry(spec->str, spec->len,
						    &registration, &err),
				 -1);
		g_string_free(spec, TRUE);
	}
}

/* A page that ends early must not count as a list of the entries before. */
static void test_truncated_page_is_rejected(void **state)
{
	static const char text[] = "{\"asOf\":9,\"items\":[" VALID_ENTRY(
		"i-1") ",{\"metadata\":"
		       "{\"name\":\"i-2\",\"revision\":5},\"spec\":[1e999,"
		       "\"\xff\"]}]}";

	(void)state;
	for (size_t len = 0; len < strlen(text); len++) {
		pd_error_t err;

		assert_null(wire_page_parse(text, len, &err));
		assert_int_equal(err.kind, PD_ERROR_INPUT);
	}
}

/* After an unreadable name, or part of one, the next page would begin anywhere. */
static void test_next_page_follows_a_readable_name(void **state)
{
	static const char text[] =
		"{\"items\":[" VALID_ENTRY("i-1") "," VALID_ENTRY(
			"i-3") ",{\"metadata\":{\"name\":\"i-4\xff\"}},7],"
			       "\"hasMore\":true,\"asOf\":9}";
	pd_error_t err;
	wire_page_t *page = wire_page_parse(text, strlen(text), &err);
	char *path;

	(void)state;
	assert_non_null(page);
	assert_int_equal(wire_page_count(page), 4);
	assert_string_equal(wire_page_name(page, 3), "i-3");
	wire_page_destroy(page);
	path = wire_list_path(WIRE_UPSTREAMS, "a b&c%?d");
	assert_string_equal(path, "/objects/servers?after=a%20b%26c%25%3Fd");
	g_free(path);
}

/* Truncated at the NUL, the name would remove another upstream. */
static void test_name_with_nul_is_empty(void **state)
{
	static const char text[] =
		"{\"events\":[{\"tombstone\":true,\"object\":"
		"{\"metadata\":{\"name\":\"i-1\\u0000x\","
		"\"revision\":4}}}],\"asOf\":12}";
	pd_error_t err;
	wire_page_t *page = wire_page_parse(text, strlen(text), &err);

	(void)state;
	assert_non_null(page);
	assert_string_equal(wire_page_name(page, 0), "");
	wire_page_destroy(page);
}

static void test_lease_round_trip(void **state)
{
	lease_record_t *record = lease_record_create();
	lease_record_t *read;
	uint64_t revision;
	pd_error_t err;
	char *text;

	(void)state;
	record->holder = g_strdup("e1");
	record->fence = 12;
	record->renewals = 3;
	record->note = g_strdup("7 {\"a\":1}");
	text = wire_lease_format("duties", record, 42);
	read = wire_lease_parse(text, strlen(text), &revision, &err);
	assert_int_equal(revision, 42);
	assert_string_equal(read->holder, "e1");
	assert_int_equal(read->fence, 12);
	assert_string_equal(read->note, record->note);
	lease_record_destroy(read);
	lease_record_destroy(record);
	g_free(text);
}

/* An object that another writer has spoiled must be written over, not conflict for ever. */
static void test_unreadable_record_has_a_revision(void **state)
{
	static const char *const specs[] = { "1e999", "\"\xff\"", "[nul]", "null" };
	uint64_t revision;
	pd_error_t err;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++) {
		char *object =
			g_strdup_printf("{\"metadata\":{\"name\":\"slot-0\","
					"\"revision\":42},\"spec\":%s}",
					specs[i]);

		revision = 0;
		assert_null(wire_record_parse(object, strlen(object), &revision,
					      &err));
		assert_int_equal(revision, 42);
		assert_int_equal(err.kind, PD_ERROR_INPUT);
		g_free(object);
	}
}

/* After a token that can't be read, earlier ones would be used again. */
static void test_lease_with_unreadable_parts(void **state)
{
	static const char note[] = "{\"metadata\":{\"revision\":42},\"spec\":"
				   "{\"holder\":\"e1\",\"fence\":12,"
				   "\"note\":\"\xff\",\"x\":1e999}}";
	static const char fence[] = "{\"metadata\":{\"revision\":42},\"spec\":"
				    "{\"holder\":\"e1\",\"fence\":1e999}}";
	lease_record_t *read;
	uint64_t revision;
	pd_error_t err;

	(void)state;
	read = wire_lease_parse(note, strlen(note), &revision, &err);
	assert_non_null(read);
	assert_int_equal(revision, 42);
	assert_int_equal(read->fence, 12);
	lease_record_destroy(read);
	assert_null(wire_lease_parse(fence, strlen(fence), &revision, &err));
}

/*
 * A report that is sent twice must be identical, but the order of a hash table
 * differs between processes.
 */
static void test_usage_report_is_deterministic(void **state)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	uint64_t one = 1;
	uint64_t two = 2;
	char *text;

	(void)state;
	g_hash_table_insert(counts, (char *)"b", &two);
	g_hash_table_insert(counts, (char *)"a", &one);
	text = wire_usage_format(7, counts);
	assert_string_equal(text,
			    "{\"counts\":{\"a\":1,\"b\":2},\"windowId\":7}");
	g_free(text);
	g_hash_table_unref(counts);
}

/* Returns the rate limit that a header's value names; negative: none. */
static double rate_limit_of(const char *value)
{
	const header_t headers[] = { { "X-Response-Seal", "s" },
				     { "Server-Limit", value } };
	wire_response_t response;

	wire_response_parse(headers, G_N_ELEMENTS(headers), &response);
	assert_int_equal(response.rejections_max, 0);
	return response.has_rate_limit ? response.rate_limit : -1;
}

static void test_limits_of_responses_are_parsed(void **state)
{
	const header_t headers[] = { { "Server-Brittle", "3" },
				     { "Retry-After", "0.25" } };
	wire_response_t response;

	(void)state;
	assert_true(rate_limit_of("3.2") == 3.2);
	assert_true(rate_limit_of("0") == 0);
	assert_true(rate_limit_of("-1") < 0);
	assert_true(rate_limit_of("nan") < 0);
	assert_true(rate_limit_of("1e9") < 0);
	assert_true(rate_limit_of("many") < 0);
	wire_response_parse(headers, G_N_ELEMENTS(headers), &response);
	assert_int_equal(response.rejections_max, 3);
	assert_false(response.has_rate_limit);
	assert_int_equal(response.retry_after, 250 * PD_MSEC);
}

static pd_time_t retry_after_of(const char *value)
{
	const header_t headers[] = { { "Retry-After", value } };
	wire_response_t response;

	wire_response_parse(headers, G_N_ELEMENTS(headers), &response);
	return response.retry_after;
}

/* Guards against a time of rest for ever, or one that is no time at all. */
static void test_odd_times_of_rest_are_bounded(void **state)
{
	static const char *const none[] = { "",	    "0",    "-3",     "nan",
					    "-inf", "soon", "2 days", "1,5" };

	(void)state;
	assert_int_equal(retry_after_of("3"), 3 * PD_SEC);
	assert_int_equal(retry_after_of("1e30"), 600 * PD_SEC);
	assert_int_equal(retry_after_of("inf"), 600 * PD_SEC);
	for (size_t i = 0; i < G_N_ELEMENTS(none); i++)
		assert_int_equal(retry_after_of(none[i]), 0);
}

/* Guards against a relayed request that gets more time, or is not authenticated. */
static void test_relayed_call_is_formatted(void **state)
{
	const header_t headers[] = {
		{ "Host", "h" },
		{ "X-Attempt-Id", "9c41" },
		{ "X-Deadline-Ms", "1500" },
		{ "Authorization", "Bearer k1" },
		{ "Last-Event-Id", "12" },
	};
	forward_call_t *call = parse_call(headers, G_N_ELEMENTS(headers));
	GString *out = g_string_new(NULL);

	(void)state;
	wire_relay_format(out, call, 900 * PD_MSEC, 4, true);
	assert_string_equal(out->str, "POST /a/b?c HTTP/1.1\r\nHost: h\r\n"
				      "X-Attempt-Id: 9c41\r\n"
				      "X-Deadline-Ms: 900\r\n"
				      "Authorization: Bearer k1\r\n"
				      "Last-Event-Id: 12\r\n"
				      "Content-Length: 4\r\n"
				      "Connection: close\r\n\r\n");
	g_string_free(out, TRUE);
	forward_call_destroy(call);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reserved_headers_are_dropped),
		cmocka_unit_test(test_call_is_parsed),
		cmocka_unit_test(test_invalid_prompt_parts_are_ignored),
		cmocka_unit_test(test_call_is_formatted),
		cmocka_unit_test(test_configuration_is_parsed),
		cmocka_unit_test(test_unknown_route_kind_is_unsafe),
		cmocka_unit_test(test_truncated_configuration_is_rejected),
		cmocka_unit_test(test_list_and_watch_are_parsed),
		cmocka_unit_test(test_invalid_registration_is_rejected),
		cmocka_unit_test(test_invalid_text_affects_only_its_entry),
		cmocka_unit_test(test_unreadable_value_affects_only_its_entry),
		cmocka_unit_test(test_deep_entry_affects_only_itself),
		cmocka_unit_test(test_truncated_page_is_rejected),
		cmocka_unit_test(test_next_page_follows_a_readable_name),
		cmocka_unit_test(test_name_with_nul_is_empty),
		cmocka_unit_test(test_lease_round_trip),
		cmocka_unit_test(test_unreadable_record_has_a_revision),
		cmocka_unit_test(test_lease_with_unreadable_parts),
		cmocka_unit_test(test_invalid_order_is_rejected),
		cmocka_unit_test(test_only_valid_status_of_its_version_counts),
		cmocka_unit_test(test_usage_report_is_deterministic),
		cmocka_unit_test(test_odd_times_of_rest_are_bounded),
		cmocka_unit_test(test_limits_of_responses_are_parsed),
		cmocka_unit_test(test_relayed_call_is_formatted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
