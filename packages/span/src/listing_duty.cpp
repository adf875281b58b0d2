#include "span/listing_duty.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace span {

using pith::Micros;

namespace {
constexpr char kDuty[] = "listing";

std::string host_of(const std::string& address) { return address.substr(0, address.rfind(':')); }
}  // namespace

bool ListingDuty::Label::operator<(const Label& other) const {
    return std::tie(epoch, holder, version) < std::tie(other.epoch, other.holder, other.version);
}

bool ListingDuty::same(const weft::ServerRec& a, const weft::ServerRec& b) {
    return a.address == b.address && a.service == b.service && a.instance == b.instance &&
           a.state == b.state && a.locality == b.locality && a.slots == b.slots &&
           a.version == b.version;  // cold_us runs down by itself
}

bool ListingDuty::beside_control_node(const std::string& address) const {
    for (const auto* member : members_->live("keeper"))
        if (host_of(member->rec.address) == host_of(address)) return true;
    return false;
}

// A listing for all of a large fleet fills a narrow link for seconds: only who stands beside a control node
// tells it.
bool ListingDuty::tells_others() const {
    return !large_fleet_ || members_->live("keeper").empty() || beside_control_node(members_->own_address());
}

// The duty's order, with neighbours in different zones as far as there are any, so that those next in turn do
// not go with the first. In a large fleet those beside a control node come before all others: their links are
// wide.
std::size_t ListingDuty::rank() const {
    auto order = members_->order(kDuty, "proxy");
    if (large_fleet_)
        std::stable_partition(order.begin(), order.end(), [this](const weft::MemberRec& member) {
            return beside_control_node(member.address);
        });
    std::map<std::string, std::size_t> round;  // by zone: how many of it came before
    std::vector<std::pair<std::size_t, const weft::MemberRec*>> by_round;
    by_round.reserve(order.size());
    for (const auto& member : order) by_round.emplace_back(round[member.locality]++, &member);
    if (!large_fleet_)
        std::stable_sort(by_round.begin(), by_round.end(),
                         [](const auto& a, const auto& b) { return a.first < b.first; });
    for (std::size_t i = 0; i < by_round.size(); ++i)
        if (by_round[i].second->name == members_->name()) return i;
    return order.size() + 1;
}

// Whether this proxy is to ask now: the first in the order each period, any other where it hears of no newer
// asking.
bool ListingDuty::due(Micros now) const {
    const Micros period = large_fleet_ ? tuning_.period_large : tuning_.period;
    if (age(now) < period) return false;
    const std::size_t place = rank();
    if (place == 0) return true;
    const Micros unheard = now - std::max(confirmed_at_, could_ask_since_);
    if (!tells_others()) return unheard >= tuning_.alone + static_cast<Micros>(place) * tuning_.step_alone;
    const Micros patience =
        period + tuning_.grace + static_cast<Micros>(std::min(place - 1, tuning_.steps)) * tuning_.step;
    // What was never confirmed is as old as the time since when it could be.
    return unheard >= patience;
}

bool ListingDuty::tick(Micros now, const Surroundings& around, weft::Out* out) {
    large_fleet_ = around.large_fleet;
    seek(now, around, out);
    if (now >= confirm_due_) {
        confirm_due_ = pith::kNever;
        confirm(out);
    }
    if (!around.may_ask) return false;
    if (could_ask_since_ < 0) could_ask_since_ = now;
    if (asking_ || now < next_question_ || !due(now)) return false;
    asking_ = true;
    asked_at_ = now;
    held_as_asked_ = held();
    next_question_ = now + (large_fleet_ ? tuning_.period_large : tuning_.period);
    return true;
}

void ListingDuty::tell(const weft::Msg& message, bool control_nodes_too, weft::Out* out) const {
    for (const auto* member : members_->live())
        if (control_nodes_too || member->rec.role == "proxy") out->push_back({member->rec.address, message});
}

void ListingDuty::confirm(weft::Out* out) const {
    tell(weft::ListingConfirmed{listing_.epoch, listing_.holder, listing_.version}, false, out);
}

void ListingDuty::take(Micros now, const weft::Listing& listing) {
    note_leaving(now, listing);
    listing_ = listing;
    auto& freight = members_->freight();
    freight.list_epoch = listing.epoch;
    freight.list_version = listing.version;
    pool_->listing(now, listing_);
}

// What the newest listing shows as leaving, or no longer shows, in place of what is held.
void ListingDuty::note_leaving(Micros now, const weft::Listing& newest) {
    std::set<std::pair<std::string, std::string>> serving;
    for (const auto& server : newest.servers)
        if (server.state == kServing) serving.insert({server.address, server.instance});
    leaving_heard_ = {};
    for (const auto& server : listing_.servers)
        if (server.state == kServing && serving.count({server.address, server.instance}) == 0)
            leaving_heard_.instances.push_back(server.instance);
    leaving_heard_.from = newest.holder;
    leaving_heard_.held_for = now - confirmed_at_;
    leaving_heard_.epoch = newest.epoch;
    leaving_heard_.version = newest.version;
}

LeavingHeard ListingDuty::leaving_news() {
    LeavingHeard news;
    std::swap(news, leaving_heard_);
    return news;
}

void ListingDuty::listed(Micros now, std::vector<weft::ServerRec> servers, weft::Out* out) {
    asking_ = false;
    if (servers.empty() && !listing_.servers.empty()) return;  // an empty listing never wipes what is known
    // Somebody was faster, or this node stood still meanwhile: what it brings may be the older one.
    if (held_as_asked_ < held()) return;
    const bool fresh = now - asked_at_ <= tuning_.period;
    const bool equal = known() && servers.size() == listing_.servers.size() &&
                       std::equal(servers.begin(), servers.end(), listing_.servers.begin(), same);
    confirmed_at_ = std::max(confirmed_at_, asked_at_);
    if (equal) {
        // Servers that were missing are let go in time, also where nothing else changes.
        pool_->listing(now, listing_);
        if (fresh && tells_others()) confirm(out);
        return;
    }
    if (!tells_others() && known()) {  // for this node alone, until it hears the others again
        listing_.servers = std::move(servers);
        pool_->listing(now, listing_);
        return;
    }
    weft::Listing next;
    next.epoch = members_->take(kDuty);
    next.holder = members_->name();
    next.version = next.epoch == listing_.epoch && next.holder == listing_.holder ? listing_.version + 1 : 1;
    next.servers = std::move(servers);
    take(now, next);
    if (!tells_others()) return;
    tell(listing_, true, out);
    confirm_due_ = now + (large_fleet_ ? tuning_.confirm_after_large : tuning_.confirm_after);
}

void ListingDuty::failed(Micros now, Micros retry_after) {
    asking_ = false;
    next_question_ = std::max(next_question_, now + retry_after);
}

bool ListingDuty::hear(Micros now, const std::string& from, const weft::Listing& told) {
    if (!members_->accept(kDuty, told.epoch, told.holder)) return false;
    if (!(held() < Label{told.epoch, told.holder, told.version})) return true;
    take(now, told);
    confirm_due_ = pith::kNever;  // what this node had asked for itself has been overtaken
    if (from == told.holder) {
        confirmed_at_ = now;  // it has just asked the platform
    } else if (!(held() < wanted_)) {
        confirmed_at_ = wanted_at_;
    } else {
        // Passed on, and perhaps long ago: the first in the order asks at once, the others wait to hear of
        // it.
        confirmed_at_ = -pith::kNever;
        could_ask_since_ = next_question_ = now;
    }
    return true;
}

void ListingDuty::hear(Micros now, const std::string& from, const weft::ListingConfirmed& confirmed) {
    const Label label{confirmed.epoch, confirmed.holder, confirmed.version};
    if (label < held()) return;
    if (!(held() < label)) {
        confirmed_at_ = now;
        return;
    }
    // It may be on its way: a long one over a narrow link takes its time, and must not be sent twice for
    // that.
    if (wanted_ < label) next_seek_ = now + (large_fleet_ ? tuning_.transfer_large : tuning_.transfer);
    wanted_ = label;
    wanted_at_ = now;
    wanted_from_ = from;
    seek_elsewhere_ = false;
}

// A newer one is asked for until it is there: of who told of it, then of another that has it, by turns.
void ListingDuty::seek(Micros now, const Surroundings& around, weft::Out* out) {
    if (!known() && now >= next_without_) {
        next_without_ = now + tuning_.without;
        for (const auto& node : around.control_nodes) out->push_back({node.second, weft::ListingAsk{}});
    }
    if (now < next_seek_) return;
    next_seek_ = now + (large_fleet_ ? tuning_.ask_again_large : tuning_.ask_again);
    std::string to;
    if (held() < wanted_ && !seek_elsewhere_) to = members_->address(wanted_from_);
    if (to.empty()) {
        std::uint64_t epoch = listing_.epoch, version = listing_.version;
        for (const auto* member : members_->live()) {
            const auto& freight = member->freight;
            if (std::tie(freight.list_epoch, freight.list_version) <= std::tie(epoch, version)) continue;
            epoch = freight.list_epoch;
            version = freight.list_version;
            to = member->rec.address;
        }
    }
    seek_elsewhere_ = !seek_elsewhere_;
    if (!to.empty())
        out->push_back({to, weft::ListingAsk{listing_.epoch, listing_.version, listing_.holder}});
}

void ListingDuty::hear(const std::string& from, const weft::ListingAsk& ask, weft::Out* out) const {
    const std::string to = members_->address(from);
    const Label theirs{ask.epoch, ask.holder, ask.version};
    if (!to.empty() && known() && theirs < held()) out->push_back({to, listing_});
}

}  // namespace span
