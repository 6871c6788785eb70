#ifndef RELAY_CROWD_PLATFORM_H
#define RELAY_CROWD_PLATFORM_H

#include "crowd.h"
#include "platform.h"

/* Crowds against a platform of which the last host is limited. */

/* The head of a POST request; framing is its further field lines. */
std::string crowd_head(const std::string &path, const std::string &framing);

/* A request that announces length bytes and has the first of them. */
std::string crowd_announced(const std::string &path, size_t length,
			    size_t sent);

/* A request of nr chunks without the last one, which has no bytes. */
std::string crowd_chunks(const std::string &path, size_t size, size_t nr,
			 const std::string &extension = "");

/* Starts hosts of which the last one is limited, and has the service "docs". */
void crowd_start(Platform &in, const std::vector<std::string> &limits,
		 int body_max);

Usage crowd_usage(const PlatformHost &host);

/* Sends until all is sent or refused, for at most 20 s, and a second more. */
void crowd_run(const std::vector<Crowd *> &crowds, Usage &usage);

/*
 * Expects that the limited host's daemon runs and has stayed within its memory,
 * and that it answers an ordinary request while the crowd is still connected.
 */
void crowd_expect_served(Platform &in, const Usage &usage, size_t memory_max);

#endif
