#pragma once
// The platform's listing as read from its JSON (docs/api.md): whole, or not at all.
#include <string>
#include <vector>

#include "weft/messages.hpp"

namespace span {

// One page: appends to `v`; `next` is the token of the page after it, empty on the last one.
bool read_listing(const std::string& body, std::vector<weft::ServerRec>* v, std::string* next);

}  // namespace span
