/*
 * Role orders to the engine stand-in. POST /order names the model and the role
 * to take. With the fencing check on, a stale fencing token is rejected with 409;
 * without it every order is accepted, as some deployed engines do. GET
 * /standin/orders lists the accepted roles. Header only, since each stand-in is
 * built from one object file.
 */
#ifndef PISTACHIO_ENGINE_ORDERS_H
#define PISTACHIO_ENGINE_ORDERS_H

#include <glib.h>
#include <string.h>

#include "adapters/json.h"
#include "tests/standins/standin.h"

typedef struct engine_orders {
	bool checks_fencing;
	bool draining;
	uint64_t fencing_token; /* highest fencing token seen */
	int64_t rejected;
	json_t *record; /* accepted roles, oldest first */
} engine_orders_t;

/* Applies an order, or rejects it with 409 if its fencing token is stale. */
static inline void engine_orders_apply(engine_orders_t *orders,
				       http_exchange_t *exchange,
				       unsigned int running)
{
	const char *text = http_exchange_header(exchange, "x-fencing-number");
	uint64_t fencing_token = text ? g_ascii_strtoull(text, NULL, 10) : 0;
	json_t *body = standin_parse_body(exchange);
	const char *role = json_string_or(body, "role", "");

	if (orders->checks_fencing && fencing_token < orders->fencing_token) {
		orders->rejected++;
		standin_reply_text(exchange, 409, NULL, "{}", 2);
	} else {
		orders->fencing_token = MAX(orders->fencing_token, fencing_token);
		orders->draining = !strcmp(role, "draining");
		json_array_append_new(orders->record, json_string(role));
		standin_reply_json(exchange, 200,
				   json_pack("{s:i}", "running", (int)running));
	}
	json_decref(body);
}

/* Handles requests for the order paths; returns false for any other path. */
static inline bool engine_orders_handle(engine_orders_t *orders,
					http_exchange_t *exchange,
					unsigned int running)
{
	const char *path = http_exchange_path(exchange);

	if (!strcmp(path, "/order"))
		engine_orders_apply(orders, exchange, running);
	else if (!strcmp(path, "/standin/orders"))
		standin_reply_json(exchange, 200,
				   json_pack("{s:O, s:I}", "roles",
					     orders->record, "refused",
					     (json_int_t)orders->rejected));
	else
		return false;
	return true;
}

#endif
