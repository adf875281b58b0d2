#include "span/hall.hpp"

#include <boost/asio/post.hpp>

namespace span {

using Lock = std::lock_guard<std::mutex>;

namespace {
constexpr std::size_t kMaxLine = 1024;
}

void Waiter::wake(State s) {
    boost::asio::post(io_, [me = shared_from_this(), s] {
        if (me->state_ != waiting) return;
        me->state_ = s;
        me->timer.cancel();
    });
}

void Traces::add(Trace t) {
    Lock l(m_);
    t_.push_back(std::move(t));
    if (t_.size() > kMost) t_.pop_front();
}

std::vector<Trace> Traces::find(const std::string& try_id) {
    Lock l(m_);
    std::vector<Trace> v;
    for (const auto& t : t_)
        if (t.try_id == try_id) v.push_back(t);
    return v;
}

Hall::Hall(std::string node, std::string locality, const Dialect& d, const tide::Tuning& t,
           const PoolTuning& p, std::shared_ptr<budget::ProcessLimits> its_limits)
    : dialect(d),
      limits(its_limits ? std::move(its_limits) : std::make_shared<budget::ProcessLimits>(0, 0)),
      basin(t),
      pool(std::move(node), std::move(locality), p),
      lobby(
          basin, pool, tries, [this] { return policy(); }, d,
          [this](pith::Micros now) { return now < behind_until; }) {}

creed::PolicyPtr Hall::policy() {
    Lock l(pm_);
    return policy_;
}

void Hall::policy(creed::PolicyPtr p) {
    Lock l(pm_);
    policy_ = std::move(p);
}

tide::Id Hall::enter(const WaiterPtr& w) {
    const tide::Id id = next_++;
    Shard& s = s_[id % s_.size()];
    Lock l(s.m);
    s.w[id] = w;
    return id;
}

void Hall::leave(tide::Id id) {
    Shard& s = s_[id % s_.size()];
    Lock l(s.m);
    s.w.erase(id);
}

void Hall::left(const tide::Left& l) {
    auto each = [this](const std::vector<tide::Id>& v, Waiter::State st) {
        for (auto id : v) {
            Shard& s = s_[id % s_.size()];
            WaiterPtr w;
            {
                Lock g(s.m);
                auto i = s.w.find(id);
                if (i == s.w.end()) continue;
                w = i->second;
                s.w.erase(i);
            }
            w->wake(st);
        }
    };
    each(l.released, Waiter::released);
    each(l.expired, Waiter::expired);
}

bool Hall::stand_in_line(const std::string& service, const WaiterPtr& w) {
    Lock l(lm_);
    auto& q = line_[service];
    while (!q.empty() && q.front().expired()) q.pop_front();
    if (q.size() >= kMaxLine) return false;
    q.push_back(w);
    return true;
}

void Hall::slot_free(const std::string& service) {
    WaiterPtr w;
    {
        Lock l(lm_);
        auto i = line_.find(service);
        if (i == line_.end()) return;
        while (!w && !i->second.empty()) {
            w = i->second.front().lock();
            i->second.pop_front();
        }
    }
    if (w) w->wake(Waiter::free);
}

}  // namespace span
