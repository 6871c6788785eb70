#ifndef GODWITSPUR_DAEMON_H
#define GODWITSPUR_DAEMON_H

#include <glib.h>

#include "settings.h"

/*
 * Runs a daemon until a planned stop has ended. Returns FALSE when it cannot
 * be started.
 */
gboolean daemon_run(const struct settings *settings, GError **error);

#endif
