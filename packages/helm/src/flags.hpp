#pragma once
// The command line's flags.
#include <gflags/gflags_declare.h>

#include <string>
#include <vector>

#include "pith/error.hpp"

DECLARE_string(nodes);
DECLARE_string(operator_token);
DECLARE_int32(timeout_ms);
DECLARE_bool(json);
DECLARE_string(out);
DECLARE_string(signing_key);
DECLARE_string(service);
DECLARE_int32(route_timeout_ms);
DECLARE_int32(times);
DECLARE_int32(every_ms);

namespace helm {

// All that helm takes, in the order of its help.
const std::vector<std::string>& flag_names();
// The addresses in --nodes. Kind::settings_wrong where one is not IP:PORT.
pith::Result<std::vector<std::string>> node_addresses();

}  // namespace helm
