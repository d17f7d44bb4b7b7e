/* Tests of tools/check-build-packages on small projects. */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>

#define LISTED "\"build-essential\", \"pkg-config\", \"libuv1-dev\""
#define COMPILE "\tcc -c -o target/main.o main.c\n"
#define LINK "\tcc -o target/main target/main.o"
#define RULE "all:\n\tmkdir -p target\n"
#define MAIN "int main(void)\n{\n\treturn 0;\n}\n"

typedef struct {
	char *root;
} project_t;

static void project_write(const project_t *project, const char *name,
			  const char *text)
{
	char *path = g_build_filename(project->root, name, NULL);

	assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(path);
}

static int project_create(void **state)
{
	project_t *project = g_new0(project_t, 1);
	char *deploy;

	project->root = g_dir_make_tmp("build-packages-XXXXXX", NULL);
	assert_non_null(project->root);
	deploy = g_build_filename(project->root, "deploy", NULL);
	assert_int_equal(g_mkdir(deploy, 0700), 0);
	g_free(deploy);
	project_write(project, "deploy/system.toml",
		      "build = \"make\"\npackages = [" LISTED "]\n");
	project_write(project, "main.c", MAIN);
	*state = project;
	return 0;
}

static int project_destroy(void **state)
{
	static const char *const names[] = {
		"deploy/system.toml", "deploy", "Makefile", "main.c", "",
	};
	project_t *project = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_build_filename(project->root, names[i], NULL);

		g_remove(path);
		g_free(path);
	}
	g_free(project->root);
	g_free(project);
	return 0;
}

/*
 * Runs the check on the project; returns whether it passed and sets REPORT to its
 * output, owned by the caller.
 */
static bool project_check(const project_t *project, char **report)
{
	char *argv[] = { "tools/check-build-packages", project->root, NULL };
	char *errors = NULL;
	int status = 0;

	assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
				 report, &errors, &status, NULL));
	if (*errors)
		print_message("%s", errors);
	g_free(errors);
	return g_spawn_check_wait_status(status, NULL);
}

static void assert_check_names(const project_t *project, const char *text)
{
	char *report;

	if (project_check(project, &report))
		fail_msg("the check passed:\n%s", report);
	if (!strstr(report, text))
		fail_msg("the check doesn't name %s:\n%s", text, report);
	g_free(report);
}

/* Guards against a check that also rejects builds which use listed packages only. */
static void test_listed_packages_pass(void **state)
{
	char *report;

	project_write(*state, "main.c", "#include <uv.h>\n" MAIN);
	project_write(*state, "Makefile",
		      RULE COMPILE LINK " $(shell pkg-config --libs libuv)\n");
	if (!project_check(*state, &report))
		fail_msg("%s", report);
	g_free(report);
}

/* Guards against a pkg-config query for an unlisted package. */
static void test_unlisted_pkg_config_fails(void **state)
{
	project_write(*state, "Makefile",
		      RULE "\tpkg-config --exists libuv\n"
			   "\tpkg-config --exists --print-errors "
			   "libsodium\n" COMPILE);
	assert_check_names(*state, "libsodium");
}

/* Guards against an unlisted header in the compiler's default search path. */
static void test_unlisted_header_fails(void **state)
{
	project_write(*state, "main.c", "#include <sodium.h>\n" MAIN);
	project_write(*state, "Makefile", RULE COMPILE);
	assert_check_names(*state, "/usr/include/sodium.h\tlibsodium-dev");
}

/* Guards against an unlisted library in the linker's default search path. */
static void test_unlisted_library_fails(void **state)
{
	project_write(*state, "Makefile",
		      RULE COMPILE LINK " -Wl,--no-as-needed -lsodium\n");
	assert_check_names(*state, "libsodium");
}

/* Guards against an unlisted tool whose absence the build ignores. */
static void test_unlisted_tool_fails(void **state)
{
	project_write(*state, "Makefile",
		      RULE "\tclang-format --version >target/v 2>&1 || "
			   "true\n" COMPILE);
	assert_check_names(*state, "clang-format");
}

/* Guards against header lists that are interleaved by concurrent compilers. */
static void test_parallel_compilers_pass(void **state)
{
	char *report;

	project_write(*state, "deploy/system.toml",
		      "build = \"make -j16\"\npackages = [" LISTED "]\n");
	project_write(*state, "main.c", "#include <uv.h>\n" MAIN);
	project_write(*state, "Makefile",
		      "all: $(addprefix target/,$(shell seq 200))\n"
		      "target/%:\n\tmkdir -p target\n\tcc -c -o $@ main.c\n");
	if (!project_check(*state, &report))
		fail_msg("%s", report);
	g_free(report);
}

/* Guards against a check that passes because it saw no compiler run. */
static void test_build_without_compiler_fails(void **state)
{
	project_write(*state, "Makefile", RULE);
	assert_check_names(*state, "nothing was checked");
}

/* Guards against a make that continues without the flags of a missing package. */
static void test_missing_package_stops_make(void **state)
{
	char *argv[] = { "make", "-s", "gateway", NULL, NULL };
	char **environment = g_environ_unsetenv(g_get_environ(), "MAKEFLAGS");
	project_t *project = *state;
	char *errors = NULL;
	int status = 0;

	environment = g_environ_setenv(environment, "PKG_CONFIG_LIBDIR",
				       "/nonexistent", TRUE);
	argv[3] = g_strconcat("B=", project->root, "/target", NULL);
	assert_true(g_spawn_sync(NULL, argv, environment, G_SPAWN_SEARCH_PATH,
				 NULL, NULL, NULL, &errors, &status, NULL));
	assert_false(g_spawn_check_wait_status(status, NULL));
	assert_non_null(strstr(errors, "glib-2.0"));
	assert_null(strstr(errors, "fatal error"));
	g_free(errors);
	g_free(argv[3]);
	g_strfreev(environment);
}

#define TEST(name) \
	cmocka_unit_test_setup_teardown(name, project_create, project_destroy)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_listed_packages_pass),
		TEST(test_unlisted_pkg_config_fails),
		TEST(test_unlisted_header_fails),
		TEST(test_unlisted_library_fails),
		TEST(test_unlisted_tool_fails),
		TEST(test_parallel_compilers_pass),
		TEST(test_build_without_compiler_fails),
		TEST(test_missing_package_stops_make),
	};

	return cmocka_run_group_tests_name("build packages", tests, NULL, NULL);
}
