#pragma once
// What a node costs as the fleet grows (docs/CAPACITY.md): hollow nodes in one process, which are the
// daemons' own state machines and frames without sockets, disks or servers. Virtual time and traffic come
// from a seed.
#include <cstdint>
#include <map>
#include <string>

#include "pith/time.hpp"

namespace loom {

struct Load {
    int nodes = 15, keepers = 3, tenants = 100, routes = 100, servers = 36, services = 3;
    double rate = 236;      // requests a second at each proxy: 260,000 over 1,100
    bool patterns = false;  // routes by path and method, else by host and prefix
    bool events = true;     // a change of the configuration, of the listing, a restart, a herd
    pith::Micros warm = 3 * pith::kSecond, run = 5 * pith::kSecond;
};

// By name. Those of processor time differ from run to run, all others follow from the load and the seed.
using Costs = std::map<std::string, double>;
Costs capacity(const Load& l, std::uint64_t seed);

// "nodes=15,tenants=100": false where a name is not known.
bool load_from(const std::string& s, Load* l);

// y = a + b * x by least squares over all points, b's standard error, the residuals' deviation, and p of y ~
// x^p with its standard error where all are above 0.
struct Fit {
    double a = 0, b = 0, b_error = 0, residual = 0, power = 0, power_error = 0;
    std::size_t n = 0;
};
Fit fit(const std::multimap<double, double>& points);

}  // namespace loom
