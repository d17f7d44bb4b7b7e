/* Command-line options shared by the servers. */
#ifndef PISTACHIO_OPTIONS_H
#define PISTACHIO_OPTIONS_H

#include <stdbool.h>

#define PISTACHIO_VERSION "0.1.0"

typedef struct options {
	const char *settings; /* path of the settings file */
	bool check; /* check the settings and exit */
} options_t;

options_t options_read(int argc, char **argv, const char *doc);

#endif
