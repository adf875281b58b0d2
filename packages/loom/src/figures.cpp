#include "loom/figures.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "pith/hash.hpp"
#include "span/errand.hpp"

namespace loom {

using pith::kMilli;
using pith::kSecond;
using pith::Micros;

namespace {

constexpr const char* kService = "s";
constexpr int kSlots = 2;
constexpr std::size_t kQueue = 8;

struct Event {
    Micros t;
    std::uint64_t n;
    std::function<void()> f;
    bool operator<(const Event& o) const { return t != o.t ? t > o.t : n > o.n; }
};

struct Request {
    std::unique_ptr<span::Errand> errand;
    Micros born = 0;
    bool waits = false;
    int status = 0, over = 0;  // of the last whole answer; the last send that is over
};
using RequestPtr = std::shared_ptr<Request>;

struct Node {
    std::unique_ptr<span::Pool> pool;
    std::deque<RequestPtr> line;
    std::string zone;
    double share = 0;
    std::uint64_t seq = 0;
};

struct Server {
    std::string zone;
    double speed = 1;
    bool grey = false, cold = false;
    int busy = 0;
    std::deque<std::pair<bool, std::function<void(int)>>> line;
};

class Field {
  public:
    Field(const Yard& y, const span::PoolTuning& t, std::uint64_t seed) : y_(y), rng_(seed * 7919 + 3) {
        static const char* const zone[] = {"a", "b", "c"};
        weft::Listing l;
        l.epoch = l.version = 1;
        double rate = 0;  // all slots together, a second
        for (int i = 0; i < y.servers; ++i) {
            Server s;
            s.zone = zone[i % 3];
            s.speed = y.speed_least + (y.speed_most - y.speed_least) * rng_.unit();
            rate += kSlots * 1e6 / (s.speed * 1.04 * static_cast<double>(y.work));
            s.speed *= i < y.slow ? 4 : 1;
            s.grey = i >= y.slow && i < y.slow + y.grey;
            s.cold = i >= y.slow + y.grey && i < y.slow + y.grey + y.cold;
            weft::ServerRec r;
            r.address = "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) + ":80";
            r.service = kService;
            r.instance = "i" + std::to_string(i);
            r.locality = s.zone;
            r.slots = kSlots;
            r.cold_us = s.cold ? static_cast<std::uint64_t>(y.warm + y.cold_for) : 0;
            l.servers.push_back(r);
            s_.push_back(std::move(s));
        }
        double all = 0;
        for (int i = 0; i < y.nodes; ++i) {
            Node n;
            n.zone = zone[i % 3];
            n.share = y.even + (1 - y.even) * -std::log(1 - rng_.unit());
            all += n.share;
            n.pool = std::make_unique<span::Pool>("p" + std::to_string(i), n.zone, t);
            n.pool->listing(0, l);
            n.pool->nodes(static_cast<std::size_t>(y.nodes));
            n_.push_back(std::move(n));
        }
        rate *= y.load;
        for (std::size_t i = 0; i < n_.size(); ++i) {
            n_[i].share *= rate / all;
            at(gap(n_[i].share), [this, i] { arrive(i); });
            at(static_cast<Micros>(rng_.below(static_cast<std::uint64_t>(y.cadence))),
               [this, i] { tell(i); });
        }
    }
    Figures run() {
        const Micros end = y_.warm + y_.run + 2 * y_.deadline;
        while (!q_.empty() && q_.top().t <= end) {
            const Event e = q_.top();
            q_.pop();
            now_ = e.t;
            e.f();
        }
        std::sort(took_.begin(), took_.end());
        if (!took_.empty()) {
            double sum = 0;
            for (const auto t : took_) sum += static_cast<double>(t);
            f_.mean = static_cast<Micros>(sum / static_cast<double>(took_.size()));
            f_.p50 = took_[took_.size() / 2];
            f_.p99 = took_[took_.size() * 99 / 100];
        }
        std::size_t b = 0;
        double over = 0;
        for (const auto& s : sends_) {
            over += s.second ? 1 : -y_budget;
            while (s.first - sends_[b].first > 10 * kSecond) over -= sends_[b++].second ? 1 : -y_budget;
            f_.retry_over = std::max(f_.retry_over, over);
        }
        return f_;
    }

  private:
    static constexpr double y_budget = 0.2;
    void at(Micros t, std::function<void()> f) { q_.push({std::max(t, now_), n_ev_++, std::move(f)}); }
    void later(Micros d, std::function<void()> f) { at(now_ + d, std::move(f)); }
    Micros gap(double rate) { return 1 + static_cast<Micros>(-std::log(1 - rng_.unit()) / rate * 1e6); }
    bool counted(Micros t) const { return t >= y_.warm && t < y_.warm + y_.run; }
    Micros way(const std::string& a, const std::string& b) {  // one way
        return a == b ? 100 + static_cast<Micros>(rng_.below(100))
                      : 500 + static_cast<Micros>(rng_.below(1000));
    }

    void tell(std::size_t i) {
        later(y_.cadence, [this, i] { tell(i); });
        const auto v = n_[i].pool->load_news(++n_[i].seq % 4 == 0);
        if (v.empty()) return;
        f_.told += counted(now_) ? 4 * v.size() : 0;
        for (std::size_t k = 0; k < n_.size(); ++k)
            if (k != i)
                later(way(n_[i].zone, n_[k].zone) + kMilli, [this, i, k, v, seq = n_[i].seq] {
                    n_[k].pool->told_load(now_, "p" + std::to_string(i), 1, seq, v);
                });
    }

    void arrive(std::size_t i) {
        later(gap(n_[i].share), [this, i] { arrive(i); });
        auto r = std::make_shared<Request>();
        r->born = now_;
        span::Plan p;
        p.service = kService;
        p.write = rng_.unit() < y_.writes;
        p.deadline = now_ + y_.deadline;
        p.timeout = y_.deadline;
        p.offer_by = now_ + y_.aim / 4;
        f_.offered += counted(now_) ? 1 : 0;
        r->errand = std::make_unique<span::Errand>(p, *n_[i].pool, [] { return true; });
        r->errand->slot_free = [this, i](const std::string&) {
            auto& q = n_[i].line;
            if (q.empty()) return;
            auto w = q.front();
            q.pop_front();
            w->waits = false;
            later(0, [this, i, w] { drive(i, w, w->errand->again(now_)); });
        };
        drive(i, r, r->errand->start(now_));
    }

    void drive(std::size_t i, const RequestPtr& r, span::Do d) {
        if (d == span::Do::answer || d == span::Do::refuse) {
            if (!counted(r->born)) return;
            const bool well = d == span::Do::answer && r->status < 500;
            f_.well += well ? 1 : 0;
            f_.failed += well || (d == span::Do::refuse && !r->errand->refusal().ran_unknown) ? 0 : 1;
            f_.refused += d == span::Do::refuse && !r->errand->refusal().ran_unknown ? 1 : 0;
            if (!well) return;
            took_.push_back(now_ - r->born);
            f_.in_aim += now_ - r->born <= y_.aim ? 1 : 0;
            return;
        }
        if (d == span::Do::wait) {
            r->waits = true;
            n_[i].line.push_back(r);
            at(r->errand->wait_until(now_), [this, i, r] {
                auto& q = n_[i].line;
                const auto at = std::find(q.begin(), q.end(), r);
                if (!r->waits || at == q.end()) return;
                q.erase(at);
                r->waits = false;
                drive(i, r, r->errand->again(now_));
            });
            return;
        }
        span::Do other = span::Do::refuse;
        if (!r->errand->opened(now_, true, 0, &other)) {
            drive(i, r, other);
            return;
        }
        const auto k = static_cast<std::size_t>(std::atoi(r->errand->slot().instance.c_str() + 1));
        const bool again = r->errand->sends() > 1;
        sends_.emplace_back(now_, again);
        if (counted(now_)) {
            f_.resends += again ? 1 : 0;
            f_.afar += s_[k].zone != n_[i].zone ? 1 : 0;
        }
        const int send = r->errand->sends();
        at(r->errand->until(), [this, i, r, send] { back(i, r, send, 0); });
        later(way(n_[i].zone, s_[k].zone), [this, i, r, k, send] {
            take(k, [this, i, r, k, send](int code) {
                later(way(s_[k].zone, n_[i].zone), [this, i, r, send, code] { back(i, r, send, code); });
            });
        });
    }

    void back(std::size_t i, const RequestPtr& r, int send, int code) {
        if (r->errand->sends() != send || r->over == send) return;  // late, or answered already
        f_.sheds += code == 503 && counted(now_) ? 1 : 0;
        const span::Step s = code == 0     ? span::Step::late
                             : code == 503 ? span::Step::shed
                                           : span::Step::answered;
        r->over = send;
        if (s == span::Step::answered) r->status = code;
        drive(i, r, r->errand->exchanged(now_, s, code));
    }

    void take(std::size_t k, std::function<void(int)> answer) {
        Server& s = s_[k];
        if (s.busy >= kSlots && s.line.size() >= kQueue) {
            answer(503);
            return;
        }
        s.line.emplace_back(s.grey && rng_.unit() < 0.3, std::move(answer));
        next(k);
    }

    void next(std::size_t k) {
        Server& s = s_[k];
        while (s.busy < kSlots && !s.line.empty()) {
            auto job = std::move(s.line.front());
            s.line.pop_front();
            ++s.busy;
            // The sum of four even numbers is near enough to a normal one.
            const double x = (rng_.unit() + rng_.unit() + rng_.unit() + rng_.unit() - 2) * std::sqrt(3.0);
            double w = std::max(0.2, 1 + 0.3 * x) * (rng_.unit() < 0.01 ? 5 : 1) * s.speed;
            if (s.cold && now_ < y_.warm + y_.cold_for) w *= 2;
            later(static_cast<Micros>(w * static_cast<double>(y_.work)), [this, k, job] {
                --s_[k].busy;
                job.second(job.first ? 500 : 200);
                next(k);
            });
        }
    }

    Yard y_;
    pith::Rng rng_;
    Micros now_ = 0;
    std::uint64_t n_ev_ = 0;
    std::priority_queue<Event> q_;
    std::vector<Node> n_;
    std::vector<Server> s_;
    std::vector<Micros> took_;
    std::vector<std::pair<Micros, bool>> sends_;
    Figures f_;
};

}  // namespace

Figures figures(const Yard& y, const span::PoolTuning& t, std::uint64_t seed) {
    return Field(y, t, seed).run();
}

std::string Figures::line() const {
    char b[320];
    const double n = 1e-4 * std::max(1.0, static_cast<double>(offered));
    std::snprintf(
        b, sizeof b,
        "offered=%llu mean=%.1fms p50=%.1fms p99=%.1fms in_aim=%.0f failed=%.1f refused=%.1f sheds=%.1f "
        "resends=%.1f afar=%.0f told=%lluB retry10=%.1f",
        static_cast<unsigned long long>(offered), static_cast<double>(mean) / 1e3,
        static_cast<double>(p50) / 1e3, static_cast<double>(p99) / 1e3, static_cast<double>(in_aim) / n,
        static_cast<double>(failed) / n, static_cast<double>(refused) / n, static_cast<double>(sheds) / n,
        static_cast<double>(resends) / n, static_cast<double>(afar) / n,
        static_cast<unsigned long long>(told), retry_over);
    return b;
}

}  // namespace loom
