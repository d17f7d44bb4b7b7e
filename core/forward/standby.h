/* Which gateways of a large fleet stand by to take the leader's lease. */
#ifndef PISTACHIO_STANDBY_H
#define PISTACHIO_STANDBY_H

#include <stdbool.h>

/* So many of the first may stand, and look at the lease, at most. */
#define STANDBY_MAX 8

bool standby_stands(unsigned int before, unsigned int leaders_before);

#endif
