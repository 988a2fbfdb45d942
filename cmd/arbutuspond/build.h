/* The build of this program. */
#ifndef AP_BUILD_H
#define AP_BUILD_H

/* The commit that it was built from, or what the builder named it; "unknown" without either. */
extern const char ap_build_name[];

#endif
