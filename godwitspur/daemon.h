#ifndef GODWITSPUR_DAEMON_H
#define GODWITSPUR_DAEMON_H

#include <glib.h>

#include "settings.h"

/*
 * Runs the daemon until a planned stop is complete. Returns FALSE with an
 * error when the daemon cannot be started.
 */
gboolean daemon_run(const struct settings *settings, GError **error);

#endif
