#pragma once
// Bundles that an operator names on the command line.
#include <string>

#include "commands.hpp"
#include "creed/bundle.hpp"
#include "pith/error.hpp"

namespace helm {

// The text of the file that is the first argument.
pith::Result<std::string> read_bundle_file(const Arguments& arguments);
// A bundle, signed or not. Whose signature it is, is not checked: that is for the keepers.
pith::Result<creed::Bundle> parse_bundle(const std::string& text);

}  // namespace helm
