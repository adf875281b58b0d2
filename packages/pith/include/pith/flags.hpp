#pragma once
// gflags holds the flags; a wrong one ends with code 2 and the remedy (docs/design.md 2.2).
#include <string>
#include <vector>

#include "pith/error.hpp"

namespace pith {

// Sets the flags named in `args`; gives back what is not a flag. Only flags in `known` are taken.
Result<std::vector<std::string>> take_flags(const std::vector<std::string>& args,
                                            const std::vector<std::string>& known);
std::string flag_help(const std::vector<std::string>& known);

}  // namespace pith
