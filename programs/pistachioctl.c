/* pistachioctl: checks, signs and rolls out bundles; shows the fleet's status. */
#include <argp.h>
#include <signal.h>
#include <string.h>
#include <sysexits.h>

#include "adapters/log_glib.h"
#include "adapters/signing.h"
#include "ctl/ctl.h"
#include "programs/options.h"

static const char doc[] =
	"Operate a pistachiodrift fleet.\v"
	"Commands:\n"
	"  keygen               make a pair of signing keys (--output "
	"PREFIX),\n"
	"                       or with --account a client account's key\n"
	"  check BUNDLE         report every fault of a bundle\n"
	"  sign BUNDLE          sign it (--key SECRET --output FILE)\n"
	"  rollout SIGNED       put it in force (--key PUBLIC --platform A:P)\n"
	"  status               show every entry (--platform A:P)\n"
	"  explain REQUEST-ID   show how a request was routed\n";

static const struct argp_option table[] = {
	{ "platform", 'p', "ADDRESS:PORT", 0, "the platform's API", 0 },
	{ "key", 'k', "FILE", 0, "secret key to sign, public key to roll out", 0 },
	{ "output", 'o', "FILE", 0, "where to write", 0 },
	{ "account", 'a', NULL, 0, "keygen: make an account's key", 0 },
	{ "peers", 'e', NULL, 0, "keygen: make a key for entries to share", 0 },
	{ "json", 'j', NULL, 0, "print JSON", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	ctl_options_t *options = state->input;

	switch (key) {
	case 'p':
		options->platform = arg;
		return 0;
	case 'k':
		options->key_file = arg;
		return 0;
	case 'o':
		options->output = arg;
		return 0;
	case 'a':
		options->account = true;
		return 0;
	case 'e':
		options->peers = true;
		return 0;
	case 'j':
		options->json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num > 1)
			argp_usage(state);
		if (state->arg_num == 0)
			options->command = arg;
		else
			options->argument = arg;
		return 0;
	case ARGP_KEY_END:
		if (!options->command)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct {
	const char *name;
	int (*run)(const ctl_options_t *options);
} commands[] = {
	{ "keygen", ctl_keygen }, { "check", ctl_check },
	{ "sign", ctl_sign },	  { "rollout", ctl_rollout },
	{ "status", ctl_status }, { "explain", ctl_explain },
};

int main(int argc, char **argv)
{
	const struct argp argp = { table, parse_option, "COMMAND [ARGUMENT]",
				   doc,	  NULL,		NULL,
				   NULL };
	ctl_options_t options = { 0 };
	pd_error_t err;

	signal(SIGPIPE, SIG_IGN);
	argp_err_exit_status = EX_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	log_init("error");
	if (signing_init(&err) < 0)
		return ctl_fail(&options, &err);
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (!strcmp(commands[i].name, options.command))
			return commands[i].run(&options);
	}
	pd_error_set(&err, PD_ERROR_SETTINGS, "no command is called %s",
		     options.command);
	ctl_fail(&options, &err);
	return EX_USAGE;
}
