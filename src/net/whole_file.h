#ifndef FOXTAILSPREAD_NET_WHOLE_FILE_H_
#define FOXTAILSPREAD_NET_WHOLE_FILE_H_

/// @file
/// Files that a program is given by name: settings, secrets, scenarios.

#include <string>

#include "foxtailspread/error.h"

namespace foxtailspread {

/// Returns all bytes of a file. `remedy` says in the error what to do when it
/// cannot be read.
result<std::string> ReadWholeFile(const std::string& path, std::string remedy);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_WHOLE_FILE_H_
