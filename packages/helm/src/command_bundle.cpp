// import, check, sign: bundles in files, without any fleet.
#include <iostream>

#include "bundle_file.hpp"
#include "creed/openapi.hpp"
#include "flags.hpp"
#include "helm/helm.hpp"
#include "output.hpp"
#include "pith/settings.hpp"

namespace helm {

namespace json = boost::json;
using pith::Kind;

namespace {
constexpr std::size_t kMaxKeyFile = 4096;
constexpr int kLeastRouteTimeout = 10, kMostRouteTimeout = 60000;  // ms
constexpr std::size_t kShownHash = 16;                             // characters
}  // namespace

int run_import(const Arguments& arguments) {
    const auto text = read_bundle_file(arguments);
    if (!text) return print_error(text.error());
    if (FLAGS_service.empty()) return print_error({Kind::settings_wrong, "import needs --service NAME"});
    if (FLAGS_route_timeout_ms < kLeastRouteTimeout || FLAGS_route_timeout_ms > kMostRouteTimeout)
        return print_error({Kind::settings_wrong, "--route_timeout_ms must be 10 to 60000"});
    const auto routes = creed::routes_from_openapi(*text, FLAGS_service, FLAGS_route_timeout_ms);
    if (!routes) return print_error(routes.error());
    return write_output(*routes, false);
}

int run_check(const Arguments& arguments) {
    const auto text = read_bundle_file(arguments);
    if (!text) return print_error(text.error());
    const auto bundle = parse_bundle(*text);
    if (!bundle) return print_error(bundle.error());
    if (FLAGS_json)
        std::cout << json::serialize(json::object{{"number", bundle->number},
                                                  {"hash", bundle->hash},
                                                  {"services", bundle->services.size()},
                                                  {"routes", bundle->routes.size()},
                                                  {"customers", bundle->customers.size()},
                                                  {"keys", bundle->keys.size()}})
                  << "\n";
    else
        std::cout << "well: number " << bundle->number << ", " << bundle->services.size() << " services, "
                  << bundle->routes.size() << " routes, " << bundle->customers.size() << " customers, "
                  << bundle->keys.size() << " keys, hash " << bundle->hash.substr(0, kShownHash) << "\n";
    return kSuccess;
}

int run_sign(const Arguments& arguments) {
    const auto text = read_bundle_file(arguments);
    if (!text) return print_error(text.error());
    auto key = pith::read_file(FLAGS_signing_key, kMaxKeyFile);
    if (!key)
        return print_error(
            {Kind::settings_wrong, "sign needs --signing_key FILE: make one with `helm keygen`"});
    while (!key->empty() && (key->back() == '\n' || key->back() == ' ')) key->pop_back();
    const auto signed_text = creed::sign(*text, *key);
    if (!signed_text) return print_error(signed_text.error());
    return write_output(*signed_text, false);
}

}  // namespace helm
