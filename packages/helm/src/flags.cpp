#include "flags.hpp"

#include <gflags/gflags.h>

#include <sstream>

#include "pith/settings.hpp"

DEFINE_string(nodes, "",
              "operators' addresses of one or more nodes, IP:PORT,IP:PORT; the rest is found through them");
DEFINE_string(operator_token, "", "the word that commands which change something need");
DEFINE_int32(timeout_ms, 4000, "how long the whole command may take, 100 to 60000");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(out, "", "file to write to");
DEFINE_string(signing_key, "", "file with the signer's secret key");
DEFINE_string(service, "", "import: the service that the routes go to");
DEFINE_int32(route_timeout_ms, 1000, "import: the routes' timeout, 10 to 60000");
DEFINE_int32(times, 10, "watch: how many times to look, 1 to 100000");
DEFINE_int32(every_ms, 1000, "watch: time between looks, 100 to 60000");

namespace helm {

const std::vector<std::string>& flag_names() {
    static const std::vector<std::string> names = {
        "nodes",       "operator_token", "timeout_ms",       "json",  "out",
        "signing_key", "service",        "route_timeout_ms", "times", "every_ms"};
    return names;
}

pith::Result<std::vector<std::string>> node_addresses() {
    std::vector<std::string> addresses;
    std::istringstream list(FLAGS_nodes);
    std::string address;
    while (std::getline(list, address, ',')) {
        if (address.empty()) continue;
        if (!pith::address_ok(address))
            return pith::fail(pith::Kind::settings_wrong,
                              "--nodes: \"" + address + "\" is not IP:PORT: correct it");
        addresses.push_back(address);
    }
    return addresses;
}

}  // namespace helm
