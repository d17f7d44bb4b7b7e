/* Command-line options shared by the servers. */
#include "programs/options.h"

#include <argp.h>
#include <sysexits.h>

const char *argp_program_version = "pistachiodrift " PISTACHIO_VERSION;

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *options = state->input;

	switch (key) {
	case 's':
		options->settings = arg;
		return 0;
	case 'c':
		options->check = true;
		return 0;
	case ARGP_KEY_END:
		if (!options->settings)
			argp_error(state, "--settings is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Parses the command line; exits with EX_USAGE if it is invalid. */
options_t options_read(int argc, char **argv, const char *doc)
{
	static const struct argp_option table[] = {
		{ "settings", 's', "FILE", 0, "read settings from FILE", 0 },
		{ "check", 'c', NULL, 0, "check the settings and exit", 0 },
		{ 0 }
	};
	const struct argp argp = { table, parse_option, NULL, doc,
				   NULL,  NULL,		NULL };
	options_t options = { NULL, false };

	argp_err_exit_status = EX_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	return options;
}
