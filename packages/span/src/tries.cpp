#include "span/tries.hpp"

#include <cstring>

namespace span {

using Lock = std::lock_guard<std::mutex>;

Tries::Digest Tries::digest(const std::string& customer, const std::string& id) const {
    const std::string tag = pith::keyed_tag(secret_, customer + '\n' + id);
    Digest of;
    std::memcpy(&of.high, tag.data(), sizeof of.high);
    std::memcpy(&of.low, tag.data() + sizeof of.high, sizeof of.low);
    return of;
}

bool Tries::begin(pith::Micros now, const std::string& customer, const std::string& id) {
    const Digest k = digest(customer, id);
    Shard& s = shard(k);
    Lock l(s.m);
    while (!s.order.empty() && (s.order.size() >= kMost || now - s.order.front().first > kKeep)) {
        auto i = s.t.find(s.order.front().second);
        if (i != s.t.end() && i->second.at == s.order.front().first) s.t.erase(i);
        s.order.pop_front();
    }
    if (!s.t.emplace(k, One{now, false}).second) return false;
    s.order.emplace_back(now, k);
    return true;
}

void Tries::sent(const std::string& customer, const std::string& id) {
    const Digest k = digest(customer, id);
    Shard& s = shard(k);
    Lock l(s.m);
    auto i = s.t.find(k);
    if (i != s.t.end()) i->second.sent = true;
}

void Tries::let_go(const std::string& customer, const std::string& id) {
    const Digest k = digest(customer, id);
    Shard& s = shard(k);
    Lock l(s.m);
    auto i = s.t.find(k);
    if (i != s.t.end() && !i->second.sent) s.t.erase(i);
}

void Tries::not_run(const std::string& customer, const std::string& id) {
    const Digest k = digest(customer, id);
    Shard& s = shard(k);
    Lock l(s.m);
    s.t.erase(k);
}

}  // namespace span
