/*
 * The fleet's time of day, by a vote of the clocks of this gateway and its peers. A VM
 * whose clock steps by seconds would otherwise count requests in the wrong window, and
 * report a window that has not ended. Steady clocks don't step, so the voted time is
 * kept as a difference from this VM's steady clock. A clock that has stepped against
 * the steady clock of its own VM has no vote for a while, and the fleet's time steps
 * only if most of the votes are nearer to the new time. The offsets of clocks are kept
 * in the checkpoint and corrected by it after a restart of all gateways.
 */
#ifndef PISTACHIO_TIME_VOTE_H
#define PISTACHIO_TIME_VOTE_H

#include <glib.h>

#include "ports/clock.h"

/* Smaller changes of a clock are drift or delayed messages. */
#define CLOCK_STEP_MIN (100 * PD_MSEC)

typedef struct time_vote time_vote_t;

/* Sizes of clock steps; 0: no step. */
typedef struct clock_steps {
	pd_time_t own;
	pd_time_t fleet;
} clock_steps_t;

/*
 * PEER is NULL for the own clock; OFFSET is positive if it is ahead of the fleet's
 * time.
 */
typedef void (*clock_each_t)(void *ctx, const char *peer, pd_time_t offset);

time_vote_t *time_vote_create(void);
void time_vote_destroy(time_vote_t *vote);
clock_steps_t time_vote_update(time_vote_t *vote, pd_time_t own_wall,
			       pd_time_t now);
void time_vote_receive_reading(time_vote_t *vote, const char *peer,
			       pd_time_t wall, pd_time_t step_age, pd_time_t now);
void time_vote_correct(time_vote_t *vote, const char *peer, pd_time_t offset);
void time_vote_each_offset(const time_vote_t *vote, pd_time_t now,
			   clock_each_t each, void *ctx);
void time_vote_receive_result(time_vote_t *vote, pd_time_t wall, pd_time_t now);
pd_time_t time_vote_wall(const time_vote_t *vote, pd_time_t now);
pd_time_t time_vote_own_wall(const time_vote_t *vote, pd_time_t now);
pd_time_t time_vote_own_step_age(const time_vote_t *vote, pd_time_t now);

#endif
