#pragma once
// Routes from an OpenAPI 3 document in JSON, for pasting into a bundle (docs/operators.md).
#include <string>

#include "pith/error.hpp"

namespace creed {

// A JSON list of routes; every fault names its place in the document.
pith::Result<std::string> routes_from_openapi(const std::string& text, const std::string& service,
                                              int timeout_ms);

}  // namespace creed
