/* Calls that run at most once: connects permits and claims to the entry task's hooks. */
#ifndef AP_ENTRY_ONCE_H
#define AP_ENTRY_ONCE_H

#include "entry.h"

typedef struct entry_once entry_once_t;

/* entry_once_new() - installs its hooks in @entry; returns NULL when out of memory. */
entry_once_t *entry_once_new(entry_t *entry);
/* entry_once_free() - must come after entry_free(), which may still call the hooks. */
void entry_once_free(entry_once_t *once);

#endif
