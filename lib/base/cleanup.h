#ifndef BASE_CLEANUP_H
#define BASE_CLEANUP_H

/*
 * Clean-up attributes for struct tags. GLib's g_autoptr() needs typedefs, which
 * this project does not use, so the same compiler attribute is used directly:
 *
 *	CLEANUP(tree_freep) struct tree *tree = NULL;
 */
#define CLEANUP(function) __attribute__((cleanup(function)))

/* Defines NAMEp(), the clean-up function for a pointer that NAME() frees. */
#define DEFINE_CLEANUP(type, name)                 \
	static inline void name##p(type **pointer) \
	{                                          \
		if (*pointer)                      \
			name(*pointer);            \
	}

#endif
