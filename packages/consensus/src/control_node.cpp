#include "consensus/control_node.hpp"

#include "pith/hash.hpp"

namespace consensus {

using pith::Micros;

namespace {
constexpr std::size_t kMaxMarks = 512;
constexpr std::size_t kTell = 2;                        // control nodes that tell a proxy of a change at once
constexpr std::uint64_t kAskersOp = ~std::uint64_t{0};  // the read for proxies; no operator's op is as high
constexpr Micros kReadEvery = 50 * pith::kMilli;        // for proxies: a herd that starts asks all at once
}  // namespace

ControlNode::ControlNode(knell::Config membership, ControlConfig config, FoundingConfig founding,
                         DurableState held,
                         const std::map<std::string, std::pair<std::uint64_t, std::string>>& epochs)
    : feed_read_patience_(config.tuning.patience),
      knell_(membership),
      register_(config, std::move(held)),
      founding_(std::move(founding), config.life),
      feed_(config.life) {
    for (const auto& e : epochs) {
        knell_.accept(e.first, e.second.first, e.second.second);
        epochs_[e.first] = e.second.first;
    }
}

void ControlNode::peers_now() {
    std::map<std::string, Peer> peers;
    for (const auto& p : knell_.members()) {
        const auto& m = p.second;
        if (m.rec.role != "keeper") continue;
        Peer peer;
        peer.address = m.rec.address;
        peer.zone = m.rec.locality;
        peer.live = m.rec.state <= knell::kDraining;
        peer.leaving = m.rec.state == knell::kDraining || m.rec.state == knell::kLeft;
        peer.since = m.since;
        peers[p.first] = std::move(peer);
    }
    register_.peers(std::move(peers));
}

// What any event may have brought about: a founded membership, a newer configuration, answers for proxies.
void ControlNode::after(Micros now, Actions* actions) {
    (void)now;
    const DurableState& held = register_.acceptor().durable();
    if (!register_.known() && held.founded) register_.found(held.founding.voters, actions);
    const weft::ControlState& decided = register_.decided();
    if (register_.text() != nullptr && decided.number > fed_) {
        fed_ = decided.number;
        knell_.freight().commit = fed_;
        register_.contents().put(decided.hash, *register_.text());
        feed_.bundle(decided.number, decided.hash);
        spread_feed(actions);
    }
    answer_askers(actions);
}

// Each proxy is told by two of the control nodes that live; it asks the others, and its peers, by itself.
void ControlNode::spread_feed(Actions* actions) {
    const auto news = feed_.news(&register_.contents());
    const auto nodes = knell_.live("keeper");
    for (const auto* proxy : knell_.live("proxy")) {
        const auto weight = [proxy](const std::string& node) {
            return pith::hash64(proxy->rec.name + '|' + node);
        };
        std::size_t before = 0;
        for (const auto* node : nodes) before += weight(node->rec.name) < weight(knell_.name()) ? 1 : 0;
        if (before < kTell) actions->out.push_back({proxy->rec.address, news});
    }
}

void ControlNode::take_mark(const weft::ChangeRec& change, Actions* actions) {
    const auto i = marks_.find(change.hash);
    if (i != marks_.end() && i->second.number >= change.number) return;
    if (i == marks_.end() && marks_.size() >= kMaxMarks) return;
    marks_[change.hash] = change;
    feed_.mark(change);
    spread_feed(actions);
    // The other control nodes are told in the feed's own form.
    weft::FeedSaid said;
    said.changes.push_back(change);
    for (const auto* node : knell_.live("keeper")) actions->out.push_back({node->rec.address, said});
}

void ControlNode::mark(Micros now, const std::string& server, bool drain, Actions* actions) {
    (void)now;
    const auto i = marks_.find(server);
    weft::ChangeRec change;
    change.kind = kServerMark;
    change.number = i == marks_.end() ? 1 : i->second.number + 1;
    change.hash = server;
    change.text = drain ? "drain" : "serve";
    take_mark(change, actions);
}

void ControlNode::tick(Micros now, Actions* actions) {
    knell_.tick(now, &actions->out);
    peers_now();
    founding_.tick(now, knell_, &register_.acceptor(), &actions->out);
    // Epochs that were heard are not forgotten with the processes that heard them (docs/design.md 4.4).
    for (const auto& e : knell_.epochs()) {
        auto& written = epochs_[e.first];
        if (written >= e.second.epoch) continue;
        written = e.second.epoch;
        actions->epochs.push_back(e.second);
    }
    ask_for_askers(now, actions);
    register_.tick(now, actions);
    after(now, actions);
}

void ControlNode::order(Micros now, std::uint64_t op, const std::string& text, Actions* actions) {
    register_.order(now, op, text, actions);
    after(now, actions);
}

void ControlNode::read(Micros now, std::uint64_t op, Actions* actions) {
    register_.read(now, op, actions);
    after(now, actions);
}

void ControlNode::saved(Micros now, std::uint64_t token, bool ok, Actions* actions) {
    register_.saved(now, token, ok, actions);
    after(now, actions);
}

void ControlNode::leave(Micros now, Actions* actions) {
    register_.leaving();
    knell_.say(knell::kDraining, now, &actions->out);
}

void ControlNode::left(Micros now, Actions* actions) { knell_.say(knell::kLeft, now, &actions->out); }

void ControlNode::ask_for_askers(Micros now, Actions* actions) {
    if (waiting_.empty() || !asking_.empty() || now < next_read_) return;
    next_read_ = now + kReadEvery;
    asking_.swap(waiting_);
    register_.read(now, kAskersOp, feed_read_patience_, actions);
}

// The answer to the read that was made for proxies is theirs; the others are the operators'.
void ControlNode::answer_askers(Actions* actions) {
    std::vector<Answer> others;
    for (auto& answer : actions->answers) {
        if (answer.op != kAskersOp) {
            others.push_back(std::move(answer));
            continue;
        }
        const bool nothing_stands = !answer.result && answer.result.error().kind == pith::Kind::not_found;
        for (const auto& asker : asking_) {
            const std::string to = knell_.address(asker.second.name);
            if ((!answer.result && !nothing_stands) || to.empty()) continue;
            auto said = feed_.answer(asker.second.ask, &register_.contents());
            said.confirmed = 1;
            said.nonce = asker.second.ask.nonce;
            actions->out.push_back({to, std::move(said)});
        }
        asking_.clear();
    }
    actions->answers = std::move(others);
}

// Feed, listing and marks: soft state that is told again. True where the message was one of these.
bool ControlNode::hear_soft(const weft::Envelope& envelope, bool fresh, Actions* actions) {
    const std::string to = knell_.address(envelope.from);
    if (const auto* ask = std::get_if<weft::FeedAsk>(&envelope.msg)) {
        register_.behind(ask->commit);
        if (to.empty()) return true;
        if (ask->confirm == 0) {
            actions->out.push_back({to, feed_.answer(*ask, &register_.contents())});
            return true;
        }
        waiting_[envelope.from + '/' + std::to_string(envelope.inc)] = Asker{envelope.from, *ask};
        return true;
    }
    if (const auto* beat = std::get_if<weft::Heartbeat>(&envelope.msg)) {
        if (fresh) register_.behind(beat->commit);
        return true;
    }
    if (const auto* listing = std::get_if<weft::Listing>(&envelope.msg)) {
        const bool newer = listing->epoch > listing_.epoch ||
                           (listing->epoch == listing_.epoch && listing->version > listing_.version);
        if (knell_.accept("listing", listing->epoch, listing->holder) && newer) listing_ = *listing;
        return true;
    }
    if (const auto* ask = std::get_if<weft::ListingAsk>(&envelope.msg)) {
        const bool newer =
            listing_.epoch > ask->epoch || (listing_.epoch == ask->epoch && listing_.version > ask->version);
        if (!to.empty() && listing_.epoch != 0 && newer) actions->out.push_back({to, listing_});
        return true;
    }
    if (const auto* said = std::get_if<weft::FeedSaid>(&envelope.msg)) {
        for (const auto& change : said->changes)
            if (change.kind == kServerMark) take_mark(change, actions);
        return true;
    }
    return false;
}

void ControlNode::hear(Micros now, const weft::Envelope& envelope, Actions* actions) {
    const bool fresh = knell_.hear(now, envelope, &actions->out);
    if (!hear_soft(envelope, fresh, actions)) {
        peers_now();
        founding_.hear(now, envelope, knell_, &register_.acceptor(), &actions->out);
        register_.hear(now, envelope, actions);
    }
    after(now, actions);
}

}  // namespace consensus
