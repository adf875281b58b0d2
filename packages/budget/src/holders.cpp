#include "budget/holders.hpp"

#include <algorithm>

namespace budget {

using pith::Micros;

Holder::Holder(Holders& all, std::function<void()> let_go) : all_(all), let_go_(std::move(let_go)) {
    admitted_ = all_.take_connection(*this);
    if (admitted_) all_.list_.push_back(*this);
}

Holder::~Holder() {
    if (!admitted_ || evicted_) return;
    all_.bytes_.give(held_);
    all_.connections_.give(1);
}

bool Holder::take(std::size_t amount) {
    if (evicted_ || !all_.take_bytes(*this, amount)) return false;
    held_ += amount;
    return true;
}

bool Holder::take_spare(std::size_t amount) {
    if (evicted_ || !all_.bytes_.take_below(all_.bytes_.limit() / 2, amount)) return false;
    held_ += amount;
    return true;
}

// What one that had to go held was given back at once.
void Holder::give(std::size_t amount) {
    if (evicted_) return;
    held_ -= amount;
    all_.bytes_.give(amount);
}

void Holder::peer_waited_for(Micros now) {
    waits_ = true;
    since_ = now;
}

void Holder::peer_moved(std::size_t bytes, Micros now) {
    const auto earned = static_cast<Micros>(bytes * pith::kSecond / kLeastBytesPerSecond);
    since_ = std::min(now, since_ + earned);
}

std::size_t Holder::room() const { return all_.bytes_.limit(); }

bool Holder::pressed() const { return all_.bytes_.held() > all_.bytes_.limit() / 8; }

Micros Holder::lag(Micros now) const { return waits_ ? now - since_ : 0; }

void Holder::evict() {
    unlink();
    ++all_.evicted_;
    let_go_();  // what it lets go of is still counted, and is given back
    evicted_ = true;
    all_.bytes_.give(held_);
    held_ = 0;
    all_.connections_.give(1);
}

Holders::Holders(Share& share, std::size_t parts_of_bytes, std::size_t parts_of_connections)
    : bytes_(share.bytes.limit() / parts_of_bytes, &share.bytes),
      connections_(share.connections.limit() / parts_of_connections, &share.connections) {}

bool Holders::take_bytes(Holder& asking, std::size_t amount) {
    const bool large = asking.held_ + amount > kSmallHolder;
    const std::size_t most = large ? bytes_.limit() / 4 * 3 : bytes_.limit();
    while (!bytes_.take_below(most, amount))
        if (!evict_one(asking)) return false;
    return true;
}

bool Holders::take_connection(const Holder& asking) {
    while (!connections_.take(1))
        if (!evict_one(asking)) return false;
    return true;
}

// False: none lags, or none more than the one that asks.
bool Holders::evict_one(const Holder& asking) {
    const Micros now = pith::mono_now();
    Holder* worst = nullptr;
    double most = 0;
    for (auto& holder : list_) {
        if (!holder.lags(now)) continue;
        const double cost =
            static_cast<double>(kConnectionBytes + holder.held_) * static_cast<double>(holder.lag(now));
        if (cost <= most) continue;
        most = cost;
        worst = &holder;
    }
    if (worst == nullptr || worst == &asking) return false;
    worst->evict();
    return true;
}

}  // namespace budget
