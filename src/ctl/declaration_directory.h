#ifndef FOXTAILSPREAD_CTL_DECLARATION_DIRECTORY_H_
#define FOXTAILSPREAD_CTL_DECLARATION_DIRECTORY_H_

/// @file
/// Reads a directory of declarations.

#include <string>
#include <vector>

#include "foxtailspread/declarations.h"

namespace foxtailspread {

/// Reads every *.json below `directory`; other files, and folders whose names
/// begin with a dot, are passed over.
result<std::vector<declaration_file>> ReadDeclarations(
    const std::string& directory);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_CTL_DECLARATION_DIRECTORY_H_
