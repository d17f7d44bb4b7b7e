/* Reads the settings file of a serving program. */
#include "programs/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include "adapters/log_glib.h"
#include "programs/options.h"

/*
 * Returns the checked settings, owned by the caller, with logging set up by
 * them. Ends the process with EX_CONFIG and one line if they are at fault, and
 * with EX_OK after --check if they are not.
 */
settings_t *cli_load_settings(int argc, char **argv, const char *doc)
{
	options_t options = options_read(argc, argv, doc);
	settings_t *settings;
	pd_error_t err;

	settings = settings_read(options.settings, &err);
	if (!settings) {
		fprintf(stderr, "%s\n", err.context);
		exit(EX_CONFIG);
	}
	if (options.check) {
		printf("%s: ok\n", options.settings);
		exit(EX_OK);
	}
	log_init(settings->log_level);
	return settings;
}
