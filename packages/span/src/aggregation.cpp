#include "span/aggregation.hpp"

#include <algorithm>
#include <cmath>

#include "pith/hash.hpp"

namespace span {

using pith::Micros;

namespace {
constexpr double kTellOf =
    0.5;  // of what one node may release unheard: a sum that moved by so much is told soon
constexpr std::uint32_t kMostBrief = 65535;      // what a rate or a queue takes in a BriefCount
constexpr std::uint32_t kHalf = UINT32_MAX / 2;  // a step by more is a step back

std::string host_of(const std::string& address) { return address.substr(0, address.rfind(':')); }

double total(const tide::Count& customer, const tide::Tally& tally) {
    return static_cast<double>(customer.rec.released) + tally.of_all(customer.rec.customer).passed;
}

std::uint32_t brief(double value) {
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, static_cast<double>(kMostBrief)));
}
}  // namespace

void Aggregators::look(const knell::Knell& members, bool wanted) {
    const std::uint64_t table = members.table();
    if (table == table_ && wanted == wanted_) return;
    table_ = table;
    wanted_ = wanted;
    names_.clear();
    zones_.clear();
    if (!wanted) return;
    std::set<std::string> hosts;
    for (const auto* member : members.live("keeper")) hosts.insert(host_of(member->rec.address));
    auto add = [this, &hosts](const std::string& name, const std::string& address, const std::string& zone) {
        if (hosts.count(host_of(address)) == 0) return;
        names_.insert(name);
        zones_[name] = zone;
    };
    for (const auto* member : members.live("proxy"))
        add(member->rec.name, member->rec.address, member->rec.locality);
    if (members.role() == "proxy") add(members.name(), members.own_address(), members.locality());
}

std::vector<std::string> Aggregators::of(const std::string& proxy, const std::string& zone) const {
    std::vector<std::pair<std::pair<bool, std::uint64_t>, std::string>> order;
    for (const auto& entry : zones_)
        if (entry.first != proxy)
            order.push_back({{entry.second != zone, pith::hash64(entry.first + '@' + proxy)}, entry.first});
    std::sort(order.begin(), order.end());
    if (order.size() > kEach) order.resize(kEach);
    std::vector<std::string> names;
    names.reserve(order.size());
    for (const auto& entry : order) names.push_back(entry.second);
    return names;
}

bool SumsTeller::due(Micros now, const std::vector<tide::Count>& recent, const tide::Tally& tally) {
    chosen_.clear();
    if (now - last_ < tuning_.soonest) return false;
    bool much = false;
    for (const auto& customer : recent) {
        const Told& told = told_[customer.rec.customer];
        const double moved = total(customer, tally) - told.total;
        const bool matters = moved >= std::max(1.0, kTellOf * customer.untold);
        if (!matters && (moved <= 0 || now - told.at < tuning_.slowest)) continue;
        much = much || matters;
        chosen_.push_back(customer);
    }
    const Micros wait = much ? tuning_.soonest : chosen_.empty() ? tuning_.slowest : tuning_.usual;
    if (now - last_ < wait) return false;
    last_ = now;
    for (const auto& customer : chosen_) told_[customer.rec.customer] = {total(customer, tally), now};
    return true;
}

weft::FleetSums SumsTeller::word(const std::string& proxy, const std::vector<tide::Count>& customers,
                                 const tide::Tally& tally, const Sight& sight, std::uint64_t sequence) {
    weft::FleetSums sums;
    sums.seq = sequence;
    sums.seen = sight.seen;
    sums.all = sight.all;
    sums.near = sight.near;
    sums.roster = sight.roster;
    for (const auto& customer : customers) {
        const auto& name = customer.rec.customer;
        const auto all = tally.of_all(name);
        const auto own = tally.of(proxy, name);
        const double released = static_cast<double>(customer.rec.released) + all.passed - own.passed;
        const double rate = static_cast<double>(customer.rec.rate_milli) / 1000 + all.rate - own.rate;
        const double queued = static_cast<double>(customer.rec.queued) + all.queued - own.queued;
        weft::put_brief(
            &sums.brief,
            {weft::brief_hash(name),
             static_cast<std::uint32_t>(static_cast<std::uint64_t>(std::llround(std::max(0.0, released)))),
             brief(rate * 10), brief(queued)});
    }
    return sums;
}

bool SumsReader::hear(const std::string& aggregator, std::uint64_t life, const weft::FleetSums& sums,
                      weft::Counts* counts) {
    Aggregator& from = aggregators_[aggregator];
    if (life < from.life || (life == from.life && sums.seq <= from.sequence)) return false;
    if (life != from.life) from.customers.clear();
    from.life = life;
    from.sequence = sums.seq;
    weft::BriefCount told;
    for (std::size_t i = 0; weft::get_brief(sums.brief, i, &told); ++i) {
        std::uint64_t& known = totals_[told.customer];
        const auto first = from.customers.emplace(told.customer, Customer{told.released, known});
        Customer& customer = first.first->second;
        const std::uint32_t step = told.released - customer.raw;
        if (step <= kHalf) customer.aligned += step;
        customer.raw = told.released;
        known = std::max(known, customer.aligned);
        weft::put_brief(&counts->brief,
                        {told.customer, static_cast<std::uint32_t>(known), told.rate_deci, told.queued});
    }
    counts->seq = ++sequence_;
    return true;
}

void SumsReader::heard(Micros now, const std::string& aggregator, const weft::FleetSums& sums) {
    Aggregator& from = aggregators_[aggregator];
    from.heard = now;
    from.sight = {sums.seen, sums.all, sums.near, sums.roster};
}

SumsTeller::Sight SumsReader::sight(Micros since) const {
    SumsTeller::Sight best;
    for (const auto& entry : aggregators_) {
        const auto& sight = entry.second.sight;
        if (entry.second.heard < since || sight.all == 0) continue;
        const auto part = [](const SumsTeller::Sight& s) {
            return s.all == 0 ? 0.0 : static_cast<double>(s.seen) / static_cast<double>(s.all);
        };
        if (part(sight) > part(best)) best = sight;
    }
    return best;
}

}  // namespace span
