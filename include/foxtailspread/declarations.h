#ifndef FOXTAILSPREAD_DECLARATIONS_H_
#define FOXTAILSPREAD_DECLARATIONS_H_

/// @file
/// Declarations: the files that operators keep in version control and that
/// together make one configuration.
///
/// | file | content |
/// |---|---|
/// | deployment.json | `format`, `deployment`, `zones`, `initial_preset` |
/// | services/NAME.json | one service of that name |
/// | organisations/NAME.json | one organisation of that name |
/// | rules.json | the list of rules |
/// | presets.json | the list of presets |
///
/// The preset in force is not declared: switching it is an act of its own.
/// `initial_preset` counts only for a platform that has no configuration yet.

#include <span>
#include <string>

#include "foxtailspread/config.h"
#include "foxtailspread/error.h"

namespace foxtailspread {

/// One file of a directory of declarations.
struct declaration_file {
  std::string name;  ///< Relative to the directory, "services/archive.json".
  std::string text;
};

/// Merges the files into one checked configuration whose preset in force is
/// `initial_preset`. Errors name the file and the path in it.
///
/// @code
/// result<deployment_config> config = MergeDeclarations(files);
/// if (!config) std::cerr << config.error().Message();
/// @endcode
result<deployment_config> MergeDeclarations(
    std::span<const declaration_file> files);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_DECLARATIONS_H_
