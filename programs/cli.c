/* Settings and logging of the entry and the placer. */
#include "programs/cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include "adapters/log_glib.h"
#include "programs/options.h"

/*
 * Returns the settings that the command line names, owned by the caller, and
 * initializes logging. Exits with EX_CONFIG and an error message if they are
 * invalid, and with EX_OK if they are valid and --check was given.
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
