#ifndef FOXTAILSPREAD_TESTS_FIXED_SEED_H_
#define FOXTAILSPREAD_TESTS_FIXED_SEED_H_

#include <cstdlib>

namespace foxtailspread {

/// Makes RapidCheck's runs repeatable, and of some thousands of cases, in the
/// programs that include this. RC_PARAMS in the environment, as a failed run
/// prints it, goes before.
inline const int seed_is_fixed =
    ::setenv("RC_PARAMS", "seed=20240614 max_success=3000 max_size=300", 0);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_TESTS_FIXED_SEED_H_
