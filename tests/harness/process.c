/* Starts, signals and reaps child processes. */
#include "tests/harness/process.h"

#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

#define CHILDREN_MAX 4096

/*
 * Process ids of the running children, which are killed when the test program
 * exits. A failed assertion skips the test's clean-up, and a fleet that outlived
 * the program would load the machine for all later tests.
 */
static pid_t children[CHILDREN_MAX];
static unsigned int child_count;

static void kill_children(void)
{
	for (unsigned int i = 0; i < child_count; i++)
		kill(children[i], SIGKILL);
}

static void on_terminate(int signum)
{
	kill_children();
	_exit(signum);
}

static void children_add(pid_t pid)
{
	if (child_count == 0) {
		atexit(kill_children);
		signal(SIGTERM, on_terminate);
	}
	if (child_count < CHILDREN_MAX)
		children[child_count++] = pid;
}

static void children_remove(pid_t pid)
{
	for (unsigned int i = 0; i < child_count; i++) {
		if (children[i] == pid) {
			children[i] = children[--child_count];
			return;
		}
	}
}

/*
 * Starts a program; its output is appended to NAME.out and NAME.log in DIR. Aborts
 * the test program if it can't be started. The caller destroys the process.
 */
process_t *process_start(const char *dir, const char *name, const char *const *argv)
{
	process_t *process = g_new0(process_t, 1);
	posix_spawn_file_actions_t actions;
	int flags = O_WRONLY | O_CREAT | O_APPEND;

	process->name = g_strdup(name);
	process->out_path = g_strdup_printf("%s/%s.out", dir, name);
	process->log_path = g_strdup_printf("%s/%s.log", dir, name);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 1, process->out_path, flags,
					 0600);
	posix_spawn_file_actions_addopen(&actions, 2, process->log_path, flags,
					 0600);
	if (posix_spawn(&process->pid, argv[0], &actions, NULL,
			(char *const *)argv, environ) != 0)
		g_error("can't start %s", argv[0]);
	children_add(process->pid);
	posix_spawn_file_actions_destroy(&actions);
	return process;
}

/* Sends a signal unless the process has been reaped. */
void process_signal(process_t *process, int signum)
{
	if (process->pid)
		kill(process->pid, signum);
}

/* Returns true if the process has ended; STATUS is then set. */
bool process_ended(process_t *process)
{
	if (process->pid &&
	    waitpid(process->pid, &process->status, WNOHANG) == process->pid) {
		children_remove(process->pid);
		process->pid = 0;
	}
	return process->pid == 0;
}

/* Kills and reaps a process if it still runs, and frees it; NULL is allowed. */
void process_destroy(process_t *process)
{
	if (!process)
		return;
	if (!process_ended(process)) {
		kill(process->pid, SIGKILL);
		waitpid(process->pid, &process->status, 0);
		children_remove(process->pid);
	}
	g_free(process->name);
	g_free(process->out_path);
	g_free(process->log_path);
	g_free(process);
}

/* Returns the text of its log so far; the caller owns it. */
char *process_log(const process_t *process)
{
	char *text = NULL;

	if (!g_file_get_contents(process->log_path, &text, NULL, NULL))
		return g_strdup("");
	return text;
}

/* Returns the number after the last occurrence of PREFIX in a file, or 0. */
int process_read_port(process_t *process, const char *path, const char *prefix)
{
	char *text = NULL;
	char *found;
	int port = 0;

	(void)process;
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	found = g_strrstr(text, prefix);
	if (found)
		port = atoi(found + strlen(prefix));
	g_free(text);
	return port;
}
