#include "span/counts_relay.hpp"

#include <algorithm>

namespace span {

using pith::Micros;

CountsRelay::Ask CountsRelay::ask(Micros now, const std::vector<std::string>& missed,
                                  const std::vector<std::string>& in_reach) {
    Ask ask;
    if (missed.empty() || in_reach.empty() || now < next_) return ask;
    next_ = now + tuning_.every;
    // Where more are missed than may be named they take turns.
    const std::size_t named = std::min(tuning_.most_named, missed.size());
    for (std::size_t i = 0; i < named; ++i) ask.message.peers.push_back(missed[(first_ + i) % missed.size()]);
    first_ += named;
    // Other helpers each time: one of them may itself not hear the peer, or not reach us.
    const std::size_t helpers = std::min(tuning_.helpers, in_reach.size());
    for (std::size_t i = 0; i < helpers; ++i) ask.helpers.push_back(in_reach[(turn_ + i) % in_reach.size()]);
    turn_ += helpers;
    return ask;
}

void CountsRelay::asked(Micros now, const std::string& by, const std::vector<std::string>& peers) {
    const std::size_t named = std::min(tuning_.most_named, peers.size());
    for (std::size_t i = 0; i < named; ++i) {
        auto& listeners = until_[peers[i]];
        if (listeners.size() >= tuning_.most_listeners && listeners.count(by) == 0) continue;
        listeners[by] = now + tuning_.hold;
    }
}

std::vector<std::string> CountsRelay::listeners(Micros now, const std::string& peer) {
    std::vector<std::string> names;
    const auto found = until_.find(peer);
    if (found == until_.end()) return names;
    auto& listeners = found->second;
    for (auto i = listeners.begin(); i != listeners.end();) {
        if (i->second < now) {
            i = listeners.erase(i);
            continue;
        }
        names.push_back(i->first);
        ++i;
    }
    if (listeners.empty()) until_.erase(found);
    return names;
}

}  // namespace span
