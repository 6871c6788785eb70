#ifndef TREE_PARTS_H
#define TREE_PARTS_H

/* Names of parts, private to the library. */

#define PART_ROOT "root"
#define PART_SERVICE_PREFIX "service/"

/* The service of a part name; NULL when it is not that of a service. */
const char *part_service(const char *name);

#endif
