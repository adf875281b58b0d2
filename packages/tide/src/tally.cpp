#include "tide/tally.hpp"

#include <algorithm>

namespace tide {

using pith::Micros;

namespace {
constexpr std::size_t kMaxPartners = 512;
constexpr std::size_t kMaxCustomers = 1024;
constexpr Micros kStall =
    200 * pith::kMilli;         // between our own ticks; more means that we ourselves stood still
constexpr double kFirst = 0.2;  // seconds of its rate charged when a partner is first heard
}  // namespace

void Tally::customers(const std::vector<std::string>& names) {
    names_.clear();
    for (const auto& n : names) names_.emplace(weft::brief_hash(n), n);
}

// Brief counts as whole ones: the high half of what was released is the nearest to what is known.
void Tally::unfold(const weft::Counts& c, const Partner& p, std::vector<weft::CountRec>* v) const {
    weft::BriefCount b;
    for (std::size_t i = 0; weft::get_brief(c.brief, i, &b); ++i) {
        const auto n = names_.find(b.customer);
        if (n == names_.end()) continue;
        const auto k = p.by.find(n->second);
        const std::uint64_t old = k == p.by.end() ? 0 : k->second.released;
        const std::uint64_t now = old + static_cast<std::uint32_t>(b.released - static_cast<std::uint32_t>(old));
        // Less than before, as a word come late or of another life has it, is no wrap.
        const bool back = now - old > UINT32_MAX / 2;
        v->push_back({n->second, back ? b.released : now, b.rate_deci * 100ULL, b.queued});
    }
}

std::vector<Sensed> Tally::hear(Micros now, const std::string& from, std::uint64_t inc,
                                const weft::Counts& c) {
    std::vector<Sensed> v;
    auto i = p_.find(from);
    if (i == p_.end()) {
        if (p_.size() >= kMaxPartners) return v;
        i = p_.emplace(from, Partner{}).first;
    }
    Partner& p = i->second;
    const double late = static_cast<double>(t_.late) / 1e6;
    if (inc < p.inc || (inc == p.inc && c.seq <= p.seq)) return v;  // old, repeated or late
    const bool fresh = inc != p.inc;
    if (fresh)
        for (auto& o : p.by) {
            o.second.released = 0;
            o.second.known = false;
        }
    if (fresh) p.whole = p.inc != 0;  // a new life of one we knew starts from none
    p.inc = inc;
    p.seq = c.seq;
    // A word that covers a long silence (of its way, or of ours) is charged for its last second only: passes
    // spent before that came back meanwhile, here unseen (docs/design.md 6.5).
    const double gap = static_cast<double>(now - p.heard) / 1e6;
    // Frames name only the customers that changed, so each keeps the silence until its own next count.
    if (!fresh && gap > late)
        for (auto& o : p.by) o.second.gap = gap;
    p.heard = now;
    p.ticked = now;
    std::vector<weft::CountRec> counts = c.counts;
    unfold(c, p, &counts);
    for (const auto& r : counts) {
        if (p.by.size() >= kMaxCustomers && p.by.count(r.customer) == 0) break;
        One& o = p.by[r.customer];
        Total& total = totals_[r.customer];
        double d = 0;
        const double rate = static_cast<double>(r.rate_milli) / 1000.0;
        if (o.known && r.released > o.released)
            total.told += static_cast<double>(r.released - o.released);
        if (!o.known && !p.whole) {
            // Met in the middle of its life: what it released long ago is not charged now. Frames name only
            // the customers that changed, so this holds for each customer by itself.
            d = std::min(static_cast<double>(r.released), rate * kFirst);
        } else if (r.released > o.released) {
            d = static_cast<double>(r.released - o.released);
        }
        o.passed += d;
        total.passed += d;
        o.known = true;
        o.hot = now - o.named <= t_.hot;
        o.named = now;
        o.released = std::max(o.released, r.released);
        tell(&total, &o, r.rate_milli, r.queued);
        // Beyond its permit it kept to what is not shared with us: only its last moment is charged.
        if (fresh) o.gap = 0;
        const bool lapsed = o.gap > static_cast<double>(t_.lapse) / 1e6;
        d = lapsed ? std::min(d, rate * kFirst) : (d - o.assumed) * (o.gap > late ? late / o.gap : 1.0);
        if (now < capped_until_) d = std::min(d, rate * kFirst);
        o.gap = 0;
        total.assumed -= o.assumed;
        o.assumed = 0;
        v.push_back({r.customer, d});
    }
    return v;
}

std::vector<Sensed> Tally::tick(Micros now, const std::map<std::string, double>& share, bool apart) {
    std::vector<Sensed> v;
    for (auto i = p_.begin(); i != p_.end();) {
        Partner& p = i->second;
        if (now - p.heard > t_.lapse) {
            // Its permit has lapsed: it may release no more than the floor by itself (docs/design.md 6.5).
            for (auto& o : p.by)
                if (o.second.rate_milli != 0 || o.second.queued != 0) tell(&totals_[o.first], &o.second, 0, 0);
            ++i;
            continue;
        }
        if (now - p.heard > t_.brief) {
            const bool silent = now - p.heard > t_.silent;
            if (silent && apart) {
                p.ticked = now;
                ++i;
                continue;
            }
            const double dt = static_cast<double>(std::min(kStall, now - std::max(p.ticked, p.heard))) / 1e6;
            for (const auto& s : share) {
                One& o = p.by[s.first];
                if (!o.hot && !silent && now - p.heard <= t_.seldom) continue;
                const double x = (silent ? std::max(o.rate(), s.second) : o.rate()) * dt;
                o.assumed += x;
                totals_[s.first].assumed += x;
                if (x > 0) v.push_back({s.first, x});
            }
        }
        p.ticked = now;
        ++i;
    }
    return v;
}

bool Tally::doubts(Micros now) const {
    for (const auto& p : p_)
        if (now - p.second.heard > t_.brief && now - p.second.heard <= t_.lapse) return true;
    return false;
}

bool Tally::heard_since(const std::string& from, Micros t) const {
    auto i = p_.find(from);
    return i != p_.end() && i->second.heard >= t;
}

void Tally::tell(Total* total, One* one, std::uint64_t rate_milli, std::uint64_t queued) {
    total->rate_milli += rate_milli - one->rate_milli;
    total->queued += queued - one->queued;
    one->rate_milli = rate_milli;
    one->queued = queued;
}

void Tally::forget(const std::string& from) {
    const auto partner = p_.find(from);
    if (partner == p_.end()) return;
    for (auto& entry : partner->second.by) {
        Total& total = totals_[entry.first];
        tell(&total, &entry.second, 0, 0);
        total.passed -= entry.second.passed;
        total.assumed -= entry.second.assumed;
    }
    p_.erase(partner);
}

double Tally::told(const std::string& customer) const {
    const auto found = totals_.find(customer);
    return found == totals_.end() ? 0 : found->second.told;
}

double Tally::assumed(const std::string& customer) const {
    const auto found = totals_.find(customer);
    return found == totals_.end() ? 0 : std::max(0.0, found->second.assumed);
}

Tally::Share Tally::of_all(const std::string& customer) const {
    const auto found = totals_.find(customer);
    if (found == totals_.end()) return {};
    const Total& total = found->second;
    return {std::max(0.0, total.passed), static_cast<double>(total.rate_milli) / 1000,
            static_cast<double>(total.queued)};
}

Tally::Share Tally::of(const std::string& from, const std::string& customer) const {
    ++entries_read_;
    const auto partner = p_.find(from);
    if (partner == p_.end()) return {};
    const auto one = partner->second.by.find(customer);
    if (one == partner->second.by.end()) return {};
    return {one->second.passed, one->second.rate(), static_cast<double>(one->second.queued)};
}

}  // namespace tide
