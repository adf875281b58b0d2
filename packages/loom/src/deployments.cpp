// The deployments that scenarios run on.
#include <algorithm>

#include "loom/world.hpp"

namespace loom {

using pith::kMilli;

namespace {
// Eight customers at 80 percent of their allowances.
void customers(Deployment* d, const std::vector<double>& rates, double writes) {
    for (double r : rates) {
        CustomerPlan c;
        c.name = "c" + std::to_string(d->customers.size() + 1);
        c.rate = r;
        c.allowance = r / 0.8;
        c.writes = writes;
        d->customers.push_back(c);
    }
}
}  // namespace

Deployment firm() {
    Deployment d;
    d.proxies = 15;
    d.servers = 35;
    d.disk = 20 * kMilli;
    d.work = 40 * kMilli;
    customers(&d, {120, 95, 70, 50, 40, 25, 15, 10}, 110.0 / 425);  // 425 a second
    return d;
}

Deployment foundation() {
    Deployment d;
    d.proxies = 11;
    d.servers = 25;
    d.disk = 3 * kMilli;
    d.work = 35 * kMilli;
    d.services = {"dates", "booking", "fees"};
    customers(&d, {90, 60, 50, 35, 25, 15, 12, 8}, 60.0 / 295);  // 295 a second
    return d;
}

Deployment wide(int proxies) {
    Deployment d = firm();
    d.proxies = proxies;
    d.servers = std::max(35, proxies);
    d.shared_hosts = true;
    if (proxies > 24) d.keepers = 6;
    d.link = 20 * kMilli;
    d.jitter = 30 * kMilli;
    d.over = 0.1;
    for (auto& c : d.customers) {
        c.allowance = c.rate / 0.62;
        c.burst = c.allowance;
    }
    return d;
}

Deployment narrow(int proxies) {
    Deployment d = wide(proxies);
    d.link = kMilli;
    d.jitter = kMilli;
    d.servers = proxies * 27 / 10;
    d.narrow_link = 250e3;  // 2 Mbit/s
    d.wide_link = 12.5e6;
    d.answer_bytes = 5000;
    for (auto& c : d.customers) {
        c.rate *= 3;
        c.allowance *= 3;
        c.burst *= 3;
    }
    return d;
}

}  // namespace loom
