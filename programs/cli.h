/* Settings and logging of the entry and the placer. */
#ifndef PISTACHIO_CLI_H
#define PISTACHIO_CLI_H

#include "adapters/settings.h"

settings_t *cli_load_settings(int argc, char **argv, const char *doc);

#endif
