/*
 * Includes h2o with its libuv binding, without the warnings that its headers
 * cause.
 */
#ifndef PISTACHIO_H2O_UV_H
#define PISTACHIO_H2O_UV_H

#define H2O_USE_LIBUV 1
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wunused-parameter"
#pragma GCC diagnostic ignored "-Wsign-compare"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wstrict-prototypes"
#pragma GCC diagnostic ignored "-Wmissing-field-initializers"
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#pragma GCC diagnostic pop

#endif
