#include "span/listing_duty.hpp"

#include <algorithm>
#include <tuple>

namespace span {

using pith::Micros;

namespace {
constexpr char kDuty[] = "listing";
constexpr std::size_t kMostInDigest = 128;  // hashes of 8 bytes: a digest stays one datagram

std::string host_of(const std::string& address) { return address.substr(0, address.rfind(':')); }
}  // namespace

bool KnownQuestions::add(const PlatformQuestion& question) {
    auto& newest = newest_[question.asked_by];
    const std::pair<std::uint64_t, std::uint64_t> asked{question.life, question.number};
    if (!(newest < asked)) return false;
    newest = asked;
    return true;
}

ListingDuty::Tuning ListingDuty::Tuning::within(Micros bound) {
    constexpr Micros kBoundOfDefaults = 2 * pith::kSecond;
    constexpr double kLeastShare = 0.25;
    const double share =
        std::clamp(static_cast<double>(bound) / static_cast<double>(kBoundOfDefaults), kLeastShare, 1.0);
    Tuning tuning;
    for (Micros* time : {&tuning.period, &tuning.grace, &tuning.step, &tuning.grace_large, &tuning.step_large,
                         &tuning.stale, &tuning.digest_again, &tuning.digest_grace, &tuning.digest_each})
        *time = static_cast<Micros>(share * static_cast<double>(*time));
    return tuning;
}

bool ListingDuty::beside_control_node(const std::string& address) const {
    for (const auto* member : members_->live("keeper"))
        if (host_of(member->rec.address) == host_of(address)) return true;
    return false;
}

// In a large fleet only who stands beside a control node tells: its link is wide.
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

// Whether this proxy is to ask now: the first in the order each period, any other where what is known grows
// too old. Both count from when questions began, since what an answer shows may be as old as that.
bool ListingDuty::due(Micros now) const {
    const Micros newest = tuning_.count_from_answers ? heard_at_ : begun_at_;
    if (now - std::max(confirmed_at_, newest) < tuning_.period) return false;
    const std::size_t place = rank();
    if (place == 0) return true;
    // What was never confirmed is as old as the time since when it could be.
    const Micros age = now - std::max(newest, could_ask_since_);
    if (!tells_others()) return age >= tuning_.alone + static_cast<Micros>(place) * tuning_.step_alone;
    const Micros grace = large_fleet_ ? tuning_.grace_large : tuning_.grace;
    const Micros step = large_fleet_ ? tuning_.step_large : tuning_.step;
    return age >= tuning_.period + grace + static_cast<Micros>(std::min(place - 1, tuning_.steps)) * step;
}

bool ListingDuty::question_may_begin(Micros now) const {
    const std::size_t most = tuning_.count_from_answers ? 1 : tuning_.most_questions;
    return questions_.size() < most && now >= next_question_ && due(now);
}

std::uint64_t ListingDuty::tick(Micros now, const Surroundings& around, weft::Out* out) {
    large_fleet_ = around.large_fleet;
    withdrawals_.forget_old(now);
    seek(now, around, out);
    ask_for_digest(now, out);
    if (now >= digest_due_) {
        digest_due_ = pith::kNever;
        tell_digest(now, out);
    }
    if (!around.may_ask) return 0;
    if (could_ask_since_ < 0) could_ask_since_ = now;
    if (!question_may_begin(now)) return 0;
    questions_[++asked_] = {now, held()};
    next_question_ = now + tuning_.period;
    return asked_;
}

weft::ListingDigest ListingDuty::digest(Micros now) const {
    const ListingLabel label = newest_label();
    weft::ListingDigest digest;
    digest.epoch = label.epoch;
    digest.holder = label.holder;
    digest.version = label.version;
    digest.asked_by = known_by_.asked_by;
    digest.asked_life = known_by_.life;
    digest.question = known_by_.number;
    digest.asked_ago = static_cast<std::uint64_t>(std::max<Micros>(0, now - known_at_));
    digest.sent_at = static_cast<std::uint64_t>(now);
    return digest;
}

std::vector<std::uint64_t> ListingDuty::told_of(Micros now) const {
    return tuning_.tell_withdrawn ? withdrawals_.recent(now) : std::vector<std::uint64_t>{};
}

// Small, and so ahead of all else on a link. One that has too much to say comes as several.
void ListingDuty::tell_digest(Micros now, weft::Out* out) const {
    const auto withdrawn = told_of(now);
    for (std::size_t from = 0; from == 0 || from < withdrawn.size(); from += kMostInDigest) {
        auto part = digest(now);
        const std::size_t to = std::min(withdrawn.size(), from + kMostInDigest);
        part.withdrawn.assign(withdrawn.begin() + static_cast<std::ptrdiff_t>(from),
                              withdrawn.begin() + static_cast<std::ptrdiff_t>(to));
        for (const auto* member : members_->live("proxy")) out->push_back({member->rec.address, part});
    }
}

void ListingDuty::note_leaving(Micros now, const std::string& from, const ListingLabel& label,
                               const std::vector<std::string>& instances) {
    if (instances.empty()) return;
    leaving_heard_.instances.insert(leaving_heard_.instances.end(), instances.begin(), instances.end());
    leaving_heard_.from = from;
    leaving_heard_.held_for = now - known_at_;
    leaving_heard_.label = label;
}

LeavingHeard ListingDuty::leaving_news() {
    LeavingHeard news;
    std::swap(news, leaving_heard_);
    return news;
}

void ListingDuty::withdraw(Micros now, const std::string& from, const ListingLabel& label,
                           const std::vector<std::uint64_t>& servers) {
    for (const auto server : servers) withdrawals_.note(now, server, label);
    note_leaving(now, from, label, pool_->withdraw(now, servers));
}

void ListingDuty::take(Micros now, const std::string& from, const weft::Listing& listing, Micros asked_at) {
    const ListingLabel label = label_of(listing);
    std::vector<std::uint64_t> withdrawn;
    for (const auto& server : withdrawn_servers(listing_, listing))
        withdrawn.push_back(server_hash(server.address, server.instance));
    withdraw(now, from, label, withdrawn);
    listing_ = listing;
    auto& freight = members_->freight();
    freight.list_epoch = listing.epoch;
    freight.list_version = listing.version;
    let_return(asked_at);
    fill_pool(now);
}

// True where a server is back that was held to leave.
bool ListingDuty::let_return(Micros asked_at) {
    if (withdrawals_.empty()) return false;
    bool any = false;
    for (const auto& server : listing_.servers)
        if (server.state == kServing &&
            withdrawals_.returned(server_hash(server.address, server.instance), held(), asked_at))
            any = true;
    return any;
}

// The pool holds what the listing shows, but for servers that were heard to leave.
void ListingDuty::fill_pool(Micros now) {
    pool_->listing(now, listing_);
    pool_->withdraw(now, withdrawals_.all());
}

void ListingDuty::mark_withdrawn(Micros asked_at, std::vector<weft::ServerRec>* servers) const {
    for (auto& server : *servers)
        if (server.state == kServing &&
            withdrawals_.noted_after(asked_at, server_hash(server.address, server.instance)))
            server.state = kLeaving;
}

// Leaving is final for an instance, so this is never too old to be true.
void ListingDuty::page_read(Micros now, const std::vector<weft::ServerRec>& servers, weft::Out* out) {
    std::vector<std::uint64_t> leaving;
    for (const auto& server : servers)
        if (server.state == kLeaving) leaving.push_back(server_hash(server.address, server.instance));
    const auto news = pool_->withdraw(now, leaving);
    if (news.empty()) return;
    for (const auto server : leaving) withdrawals_.note(now, server, newest_label());
    note_leaving(now, members_->name(), newest_label(), news);
    if (tells_others()) tell_digest(now, out);
}

void ListingDuty::listed(Micros now, std::uint64_t question, std::vector<weft::ServerRec> servers,
                         weft::Out* out) {
    const auto found = questions_.find(question);
    if (found == questions_.end()) return;
    const Question asked = found->second;
    questions_.erase(found);
    page_read(now, servers, out);
    if (question < answered_) return;  // a later one was answered first
    answered_ = question;
    if (servers.empty() && !listing_.servers.empty()) return;  // an empty listing never wipes what is known
    // Somebody was faster, or this node stood still meanwhile: what it brings may be the older one.
    if (asked.asked_at < confirmed_at_) return;
    if (asked.held < held() && listing_.holder != members_->name()) return;
    if (now - asked.asked_at > tuning_.stale) {
        next_question_ = std::min(next_question_, now);
        return;
    }
    mark_withdrawn(asked.asked_at, &servers);
    sort_servers(&servers);
    const bool equal = known() && servers.size() == listing_.servers.size() &&
                       std::equal(servers.begin(), servers.end(), listing_.servers.begin(), same_server);
    const PlatformQuestion own{members_->name(), members_->inc(), question};
    known_questions_.add(own);
    heard_at_ = now;
    begun_at_ = std::max(begun_at_, asked.asked_at);
    if (equal || (!tells_others() && known())) {
        // For this node alone, until it hears the others again; servers that were missing are let go in time,
        // also where nothing else changes.
        if (!equal) listing_.servers = std::move(servers);
        let_return(asked.asked_at);
        fill_pool(now);
    } else {
        weft::Listing next;
        next.epoch = members_->take(kDuty);
        next.holder = members_->name();
        next.version =
            next.epoch == listing_.epoch && next.holder == listing_.holder ? listing_.version + 1 : 1;
        next.servers = std::move(servers);
        const weft::Listing before = listing_;
        take(now, members_->name(), next, asked.asked_at);
        confirm(asked.asked_at, own);
        tell_change(now, before, out);
        return;
    }
    confirm(asked.asked_at, own);
    if (tells_others()) tell_digest(now, out);
}

// What leaves goes first and by itself; the rest of the change follows, to control nodes as a whole listing.
void ListingDuty::tell_change(Micros now, const weft::Listing& before, weft::Out* out) {
    const auto change = difference(before, listing_);
    history_.add(change);
    if (!tells_others()) return;
    tell_digest(now, out);
    digest_due_ = now + tuning_.digest_again;
    for (const auto* member : members_->live()) {
        if (member->rec.role == "proxy" && before.epoch != 0)
            out->push_back({member->rec.address, change});
        else
            out->push_back({member->rec.address, listing_});
    }
}

void ListingDuty::failed(Micros now, std::uint64_t question, Micros retry_after) {
    questions_.erase(question);
    next_question_ = std::max(next_question_, now + retry_after);
}

// How old it is, its digest tells; without one it stands unconfirmed.
void ListingDuty::taken_from(Micros now, const std::string& from) {
    if (held() == wanted_) {
        confirm(wanted_at_, wanted_by_);
    } else if (from == listing_.holder) {
        heard_at_ = std::max(heard_at_, now);  // its digest was lost, or is under way
    } else {
        // Passed on, and perhaps long ago: the first in the order asks at once, the others wait to hear of
        // it.
        confirmed_at_ = heard_at_ = begun_at_ = -pith::kNever;
        could_ask_since_ = next_question_ = now;
    }
}

bool ListingDuty::hear(Micros now, const std::string& from, const weft::Listing& told) {
    if (!members_->accept(kDuty, told.epoch, told.holder)) return false;
    if (!(held() < label_of(told))) return true;
    weft::Listing listing = told;
    sort_servers(&listing.servers);
    history_.clear();
    take(now, from, listing, label_of(listing) == wanted_ ? wanted_at_ : -pith::kNever);
    digest_due_ = pith::kNever;  // what this node had asked for itself has been overtaken
    taken_from(now, from);
    return true;
}

bool ListingDuty::hear(Micros now, const std::string& from, const weft::ListingChange& change) {
    if (!members_->accept(kDuty, change.epoch, change.holder)) return false;
    weft::Listing listing = listing_;
    if (!known() || !apply(change, &listing)) return true;  // its digest tells that it is to be asked for
    history_.add(change);
    take(now, from, listing, label_of(listing) == wanted_ ? wanted_at_ : -pith::kNever);
    digest_due_ = pith::kNever;
    taken_from(now, from);
    return true;
}

void ListingDuty::hear(Micros now, const std::string& from, std::uint64_t life,
                       const weft::ListingDigest& told, weft::Out* out) {
    const Micros late = tuning_.late_words_count_as_new ? 0 : delay_.late_by(now, from, life, told.sent_at);
    const Micros asked_at = now - late - static_cast<Micros>(told.asked_ago);
    const ListingLabel label{told.epoch, told.holder, told.version};
    withdraw(now, from, label, told.withdrawn);
    if (label < held()) {
        // What that listing shows is not told here, so how new it is says nothing. Its holder does not know
        // of ours.
        const std::string to = members_->address(from);
        if (tells_others() && !to.empty()) out->push_back({to, digest(now)});
        return;
    }
    const PlatformQuestion question{told.asked_by, told.asked_life, told.question};
    const bool news = known_questions_.add(question);
    if (news) {
        heard_at_ = std::max(heard_at_, now - late);
        begun_at_ = std::max(begun_at_, asked_at);
    }
    if (!(held() < label)) {
        if (news && confirm(asked_at, question) && let_return(asked_at)) fill_pool(now);
        return;
    }
    // It may be on its way, and must not be sent twice for that.
    if (wanted_ < label) next_seek_ = now + tuning_.transfer;
    if (news || wanted_ < label) {
        wanted_at_ = asked_at;
        wanted_by_ = question;
    }
    wanted_ = label;
    wanted_from_ = from;
    seek_elsewhere_ = false;
}

// What is held is what the platform said to that question. True where it was not known to be as new.
bool ListingDuty::confirm(Micros asked_at, const PlatformQuestion& question) {
    confirmed_at_ = std::max(confirmed_at_, asked_at);
    if (known_at_ >= asked_at) return false;
    known_at_ = asked_at;
    known_by_ = question;
    return true;
}

std::vector<std::string> ListingDuty::tellers() const {
    std::vector<std::string> addresses;
    for (const auto* member : members_->live("proxy"))
        if (!large_fleet_ || beside_control_node(member->rec.address))
            addresses.push_back(member->rec.address);
    return addresses;
}

// A word that was lost is asked for: of one that tells after the other, each node beginning with another one.
void ListingDuty::ask_for_digest(Micros now, weft::Out* out) {
    if (!known() || now < next_digest_ask_ || now - heard_at_ < tuning_.period + tuning_.digest_grace) return;
    const auto others = tellers();
    if (others.empty()) return;
    next_digest_ask_ = now + tuning_.digest_each;
    if (digest_asks_ == 0) digest_asks_ = static_cast<std::size_t>(server_hash(members_->name(), "") >> 1);
    out->push_back({others[++digest_asks_ % others.size()], weft::ListingDigestAsk{listing_.epoch}});
}

void ListingDuty::hear(Micros now, const std::string& from, const weft::ListingDigestAsk&,
                       weft::Out* out) const {
    const std::string to = members_->address(from);
    if (to.empty() || !known() || known_at_ < 0) return;
    auto answer = digest(now);
    answer.withdrawn = told_of(now);
    if (answer.withdrawn.size() > kMostInDigest) answer.withdrawn.resize(kMostInDigest);
    out->push_back({to, answer});
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
        out->push_back({to, weft::ListingAsk{listing_.epoch, listing_.version, listing_.holder, 1}});
}

void ListingDuty::hear(const std::string& from, const weft::ListingAsk& ask, weft::Out* out) const {
    const std::string to = members_->address(from);
    const ListingLabel theirs{ask.epoch, ask.holder, ask.version};
    if (to.empty() || !known() || !(theirs < held())) return;
    const auto changes = ask.takes_changes != 0 ? history_.since(theirs) : std::vector<weft::ListingChange>{};
    for (const auto& change : changes) out->push_back({to, change});
    if (changes.empty()) out->push_back({to, listing_});
}

}  // namespace span
