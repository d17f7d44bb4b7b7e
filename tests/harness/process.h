/* Child processes of a test. */
#ifndef PISTACHIO_TEST_PROCESS_H
#define PISTACHIO_TEST_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

typedef struct process {
	char *name;
	char *out_path; /* file with its standard output */
	char *log_path; /* file with its standard error */
	pid_t pid; /* 0 once it has been waited for */
	int status; /* wait status, once PID is 0 */
} process_t;

process_t *process_start(const char *dir, const char *name,
			 const char *const *argv);
void process_signal(process_t *process, int signum);
bool process_ended(process_t *process);
void process_destroy(process_t *process);
char *process_log(const process_t *process);
int process_read_port(process_t *process, const char *path, const char *prefix);

#endif
