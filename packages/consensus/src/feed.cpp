#include "consensus/feed.hpp"

#include <algorithm>

namespace consensus {

namespace {
constexpr std::size_t kKept = 128;     // changes that a follower may be behind without a digest
constexpr std::size_t kMostDown = 16;  // control nodes called down that are still asked
const char* const kBundleKey = "bundle";
}  // namespace

void Feed::add(const std::string& key, weft::ChangeRec change) {
    change.place = ++place_;
    digest_[key] = change;
    last_.push_back(std::move(change));
    if (last_.size() > kKept) last_.pop_front();
}

void Feed::bundle(std::uint64_t number, const std::string& hash) {
    if (number <= number_) return;
    const auto newest = digest_.find(kBundleKey);
    if (newest != digest_.end()) before_ = newest->second.hash;
    for (auto& change : last_)
        if (change.kind == kBundle) change.hash.clear();
    number_ = number;
    add(kBundleKey, weft::ChangeRec{0, kBundle, number, hash, {}, {}});
}

void Feed::mark(weft::ChangeRec change) {
    const std::string key = "mark/" + change.hash;
    add(key, std::move(change));
}

weft::FeedSaid Feed::head() const {
    weft::FeedSaid said;
    said.feed = id_;
    said.place = place_;
    said.commit = number_;
    return said;
}

bool Feed::follows(const weft::FeedAsk& ask) const {
    if (ask.feed != id_ || ask.place > place_) return false;
    return last_.empty() || ask.place + 1 >= last_.front().place;
}

weft::ChangeRec Feed::told(const weft::ChangeRec& change, const std::string& base,
                           ContentStore* contents) const {
    weft::ChangeRec told = change;
    if (change.kind == kBundle && contents->find(change.hash) != nullptr)
        told.text = contents->packed(change.hash, base, &told.base);
    return told;
}

weft::FeedSaid Feed::answer(const weft::FeedAsk& ask, ContentStore* contents) const {
    weft::FeedSaid said = head();
    const auto newest = digest_.find(kBundleKey);
    const bool needs_bundle = newest != digest_.end() && number_ > ask.commit;
    if (!follows(ask)) {
        said.digest = 1;
        for (const auto& entry : digest_)
            if (entry.second.kind != kBundle || needs_bundle)
                said.changes.push_back(told(entry.second, ask.hash, contents));
        return said;
    }
    // It has passed the bundle's place, but could not take it.
    if (needs_bundle && newest->second.place <= ask.place)
        said.changes.push_back(told(newest->second, ask.hash, contents));
    for (const auto& change : last_) {
        if (change.place <= ask.place) continue;
        const bool text = change.kind != kBundle || (needs_bundle && change.number == number_);
        said.changes.push_back(text ? told(change, ask.hash, contents) : change);
    }
    return said;
}

weft::FeedSaid Feed::news(ContentStore* contents) const {
    weft::FeedSaid said = head();
    if (!last_.empty()) said.changes.push_back(told(last_.back(), before_, contents));
    return said;
}

// A feed that we follow is asked the less often, the more of them there are.
pith::Micros Follower::pause(const Track& track) const {
    const auto shares = std::max<pith::Micros>(1, static_cast<pith::Micros>(tracks_.size()) / 3);
    if (!track.live) return period_ * shares;
    return track.digested && confirmed_ ? period_ * shares : period_ / 4;
}

weft::FeedAsk Follower::ask_from(const Track& track) const {
    const std::uint8_t confirm = confirmed_ ? 0 : 1;
    return weft::FeedAsk{track.feed, track.place, commit_, hash_, confirm, nonce_};
}

void Follower::tick(pith::Micros now, std::uint64_t commit, const std::string& hash, weft::Out* out) {
    commit_ = commit;
    hash_ = hash;
    for (auto& entry : tracks_) {
        Track& track = entry.second;
        if (now < track.next) continue;
        track.next = now + pause(track);
        out->push_back({track.address, ask_from(track)});
    }
}

void Follower::roster(const std::map<std::string, std::string>& live) {
    for (auto& entry : tracks_) entry.second.live = false;
    for (const auto& node : live) {
        Track& track = tracks_[node.first];
        track.live = true;
        if (node.second.empty() || node.second == track.address) continue;
        track.address = node.second;
        track.next = 0;
    }
    forget_down();
}

// Of those that are down only some that were heard before are kept: the ones that were heard last.
void Follower::forget_down() {
    std::vector<std::pair<pith::Micros, std::string>> down;
    for (const auto& entry : tracks_)
        if (!entry.second.live)
            down.emplace_back(entry.second.digested ? -entry.second.heard : 1, entry.first);
    std::sort(down.begin(), down.end());
    for (std::size_t i = 0; i < down.size(); ++i)
        if (i >= kMostDown || !tracks_[down[i].second].digested) tracks_.erase(down[i].second);
}

void Follower::hurry(pith::Micros now) {
    for (auto& entry : tracks_)
        if (entry.second.live) entry.second.next = std::min(entry.second.next, now);
}

void Follower::hurry_one(pith::Micros now) {
    auto at = tracks_.upper_bound(turn_);
    for (std::size_t i = 0; i < tracks_.size(); ++i, ++at) {
        if (at == tracks_.end()) at = tracks_.begin();
        if (!at->second.live) continue;
        turn_ = at->first;
        at->second.next = std::min(at->second.next, now);
        return;
    }
}

void Follower::ask_whole(pith::Micros now, const std::string& node, weft::Out* out) {
    const auto found = tracks_.find(node);
    if (found == tracks_.end() || now < std::max(next_whole_, found->second.next_whole)) return;
    Track& track = found->second;
    next_whole_ = now + period_ / 4;  // where it comes to nothing another is asked
    track.next_whole = now + period_;
    weft::FeedAsk ask = ask_from(track);
    ask.commit = 0;
    ask.hash.clear();
    out->push_back({track.address, ask});
}

std::vector<weft::ChangeRec> Follower::hear(pith::Micros now, const weft::Envelope& envelope,
                                            weft::Out* out) {
    const auto* said = std::get_if<weft::FeedSaid>(&envelope.msg);
    const auto found = tracks_.find(envelope.from);
    if (said == nullptr || found == tracks_.end()) return {};
    Track& track = found->second;
    if (said->confirmed != 0 && said->nonce == nonce_ && !confirmed_) {
        confirmed_ = true;
        confirmed_number_ = said->commit;
    }
    const bool same = said->feed == track.feed && track.digested;
    if (said->digest != 0) {
        if (same && said->place < track.place) return {};  // an old one, come late
        track.feed = said->feed;
        track.place = said->place;
        track.digested = true;
        track.heard = now;
        return said->changes;
    }
    if (!same) {  // a feed we don't follow yet: ask for its digest
        if (now >= track.next - period_ / 2) {
            track.next = now + period_ / 4;
            out->push_back({track.address, ask_from(track)});
        }
        return {};
    }
    track.heard = now;
    std::vector<weft::ChangeRec> fresh;
    for (const auto& change : said->changes) {
        const bool superseded = change.kind == kBundle && change.hash.empty();
        const bool higher = change.kind == kBundle && !superseded && change.number > commit_;
        if (change.place > track.place + 1) {  // a gap: from our place on
            out->push_back({track.address, ask_from(track)});
            break;
        }
        if ((change.place > track.place && !superseded) || higher) fresh.push_back(change);
        track.place = std::max(track.place, change.place);
    }
    return fresh;
}

}  // namespace consensus
