#include "span/core.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "consensus/founding.hpp"

namespace span {

using pith::Micros;

namespace {
constexpr char kAllOthers[] = "*";              // all other proxies, as aggregators tell of them
constexpr std::size_t kMostHigher = 64;  // numbers above ours that are kept in mind
}  // namespace

ProxyCore::ProxyCore(knell::Config k, CoreTuning t, tide::Basin* basin, Pool* pool)
    : knell_(std::move(k)),
      follower_(t.feed_every, knell_.inc()),
      t_(t),
      basin_(basin),
      pool_(pool),
      tally_(t.tally),
      listing_(t.listing, &knell_, pool),
      counts_relay_(t.relay),
      sums_teller_(t.sums),
      sums_tally_(t.tally) {
    cadence();
}

std::map<std::string, std::string> ProxyCore::control_nodes() const {
    std::map<std::string, std::string> nodes;
    for (const auto* m : knell_.live("keeper")) nodes[m->rec.name] = m->rec.address;
    return nodes;
}

void ProxyCore::spread(const weft::Msg& m, Todo* d, bool keepers_too) {
    for (const auto* p : knell_.live())
        if (keepers_too || p->rec.role == "proxy") d->out.push_back({p->rec.address, m});
}

// Highest number, never back (docs/design.md 5.4).
ProxyCore::Taken ProxyCore::take_bundle(Micros now, const weft::ChangeRec& told, Todo* d) {
    if (told.number <= number()) return Taken::known;
    const std::string* base = told.base.empty() ? nullptr : contents_.find(told.base);
    if (told.text.empty() || (base == nullptr && !told.base.empty())) return Taken::unreadable;
    const auto text = consensus::unpack_content(told.text, base == nullptr ? std::string() : *base);
    if (!text) return Taken::unreadable;
    auto bundle = creed::read_told(*text);
    if (!bundle || bundle->number != told.number || bundle->hash != told.hash) {
        ++refused_;
        return Taken::refused;
    }
    hash_ = told.hash;
    contents_.put(hash_, *text);
    act_on(now, std::move(*bundle), d);
    return Taken::yes;
}

void ProxyCore::act_on(Micros now, creed::Bundle bundle, Todo* d) {
    std::string().swap(bundle.text);  // it stands in the ContentStore; two copies would be one too many
    std::map<std::string, tide::Grant> a;
    for (const auto& c : bundle.customers) a[c.first] = tide::Grant(c.second.allowance, c.second.burst);
    policy_ = std::make_shared<const creed::Policy>(std::move(bundle));
    knell_.freight().commit = number();
    higher_.erase(higher_.begin(), higher_.upper_bound(number()));
    for (auto i = worst_.begin(); i != worst_.end();)
        i = a.count(i->first) == 0 ? worst_.erase(i) : std::next(i);
    for (auto i = told_.begin(); i != told_.end();)
        i = a.count(i->first) == 0 ? told_.erase(i) : std::next(i);
    all_next_ = true;
    basin_->allowances(now, a, &d->left);
    std::vector<std::string> names;
    for (const auto& c : policy_->bundle().customers) names.push_back(c.first);
    tally_.customers(names);
    sums_tally_.customers(names);
    d->policy = true;
}

// Each number's time runs from when it was heard first. Where too many are in mind the one heard first is let
// go.
void ProxyCore::note_number(Micros now, std::uint64_t number_heard) {
    if (number_heard <= number() || !higher_.emplace(number_heard, now).second) return;
    if (higher_.size() <= kMostHigher) return;
    higher_.erase(std::min_element(higher_.begin(), higher_.end(),
                                   [](const auto& a, const auto& b) { return a.second < b.second; }));
}

Micros ProxyCore::behind_until() const {
    Micros until = 0;
    for (const auto& heard : higher_) until = std::max(until, heard.second + t_.behind_most);
    return until;
}

// Without a tolerance words come each 100 ms where anything changed. With one, a keep-alive each 400 ms
// (longer in a large fleet) is all that is certain, and silence is judged by that (docs/design.md 6.5).
void ProxyCore::cadence() {
    keep_ = t_.counts_slow;
    sight_.windows(t_.in_sight, t_.keeper_in_sight);
    if (!basin_->tolerant()) return;
    const bool aggregated = aggregators_.in_use();
    keep_ = std::max(keep_, static_cast<Micros>(fleet_) * (aggregated ? t_.keep_each_aggregated : t_.keep_each));
    const auto of = [this](Micros x) { return x * keep_ / t_.counts_slow; };
    // Over full links several words in a row are lost, and that is no cut.
    sight_.windows(of(t_.in_sight) * (fleet_ > t_.large && !aggregated ? 2 : 1), t_.keeper_in_sight);
    auto y = t_.tally;
    y.seldom = of(550 * pith::kMilli);
    y.silent = of(y.silent);
    y.lapse = of(y.lapse);
    y.late = of(y.late);
    tally_.times(y);
    sums_tally_.times(y);
}

// How much of the fleet is in sight, of all known nodes but those that left (docs/design.md 6.5).
SumsTeller::Sight ProxyCore::sight(Micros now) const {
    SumsTeller::Sight own{1, 1, 1, 1};
    for (const auto& p : knell_.members()) {
        if (p.second.rec.state == knell::kLeft) continue;
        const bool proxy = p.second.rec.role == "proxy", in_sight = sight_.in_sight(p.second, now);
        ++own.all;
        own.seen += in_sight ? 1 : 0;
        own.roster += proxy ? 1 : 0;
        own.near += proxy && in_sight ? 1 : 0;
    }
    return own;
}

// What a node may use of the allowances follows from how much of the fleet it sees (docs/design.md 6.5).
void ProxyCore::world(Micros now) {
    auto view = sight(now);
    const std::size_t roster = view.roster;
    const std::size_t proxies = knell_.live("proxy").size() + 1;
    const bool were_in_use = aggregators_.in_use();
    aggregators_.look(knell_, t_.aggregate && basin_->tolerant() && roster > t_.large);
    if (roster != fleet_ || were_in_use != aggregators_.in_use()) {
        fleet_ = roster;
        cadence();
    }
    // Whom aggregators tell, has in sight what they have.
    if (told_sums()) view = sums_reader_.sight(now - sight_.window());
    pool_->nodes(roster);
    const bool known = follower_.ready();
    // Of several that start at once none knows yet what the others let through.
    if (settled_ == pith::kNever && known) settled_ = now + t_.settle;
    // Woken from a freeze: what partners said meanwhile is all heard at once, and is no measure.
    if (now - ticked_ > t_.stall && settled_ != pith::kNever) {
        settled_ = std::max(settled_, now + t_.wake);
        tally_.woke(now);
        sums_tally_.woke(now);
    }
    ticked_ = now;
    const bool settled = now >= settled_, most = view.all > 0 && view.seen * 3 >= view.all * 2,
               some = view.seen * 3 > view.all;
    if (known && some) whole_until_ = now + t_.permit;
    lonely_ = known && !some;
    if (some && settled)
        standing_ = most ? tide::Standing::whole : tide::Standing::part;
    else  // a node just started has heard nobody: it begins at the floor
        standing_ = now < whole_until_ ? tide::Standing::share : tide::Standing::floor;
    // Shares are of all that are known, cut off or not: all shares together are one allowance, and so are all
    // parts.
    const bool whole = standing_ == tide::Standing::whole;
    const double part =
        standing_ == tide::Standing::part ? static_cast<double>(view.near) / static_cast<double>(view.roster) : 1;
    basin_->world(now, whole ? proxies : roster, standing_, part);
}

namespace {
void put(const tide::Count& r, bool tolerant, weft::Counts* c) {
    if (tolerant)
        weft::put_brief(&c->brief,
                        {weft::brief_hash(r.rec.customer), static_cast<std::uint32_t>(r.rec.released),
                         static_cast<std::uint32_t>(r.rec.rate_milli / 100), r.rec.queued});
    else
        c->counts.push_back(r.rec);
}
}  // namespace

void ProxyCore::counts(Micros now, const std::vector<tide::Count>& v, Todo* d) {
    if (now < next_soon_) return;
    next_soon_ = now + t_.counts_soon;
    bool much = false;
    quiet_ = true;
    const auto untold = [this](const tide::Count& r) {
        return static_cast<double>(r.rec.released - told_[r.rec.customer].released);
    };
    for (const auto& r : v) {
        const auto& old = told_[r.rec.customer];
        const double u = untold(r);
        quiet_ = quiet_ && u < std::max(1.0, r.untold / 2) && r.rec.queued == 0 && old.queued == 0;
        if (r.untold >= 0) {  // by need (docs/design.md 6.4)
            much = much || u >= std::max(1.0, 1.5 * r.untold);
            continue;
        }
        const auto c = policy_->bundle().customers.find(r.rec.customer);
        much =
            much || (u >= 1 && c != policy_->bundle().customers.end() && u >= t_.much * c->second.allowance);
    }
    const bool slow = now - last_counts_ >= keep_, tolerant = basin_->tolerant();
    const auto deaf = missed_peers(now);
    const bool aggregated = aggregators_.in_use(), large = fleet_ > t_.large && !aggregated;
    // A word to all of a large fleet fills links: however much there is to tell, it waits its turn.
    if (now < next_counts_ && (!much || large)) return;
    if (aggregated && now - last_counts_ < t_.much_aggregated) return;
    // In a large fleet whom we miss is told with the next word: it changes all the time while links are full.
    if (tolerant && !much && !slow && (large || deaf == silent_)) return;
    next_counts_ = now + (large ? keep_ / 2
                          : aggregated
                              ? std::max(t_.counts_every, static_cast<Micros>(fleet_) * t_.counts_each_aggregated)
                              : t_.counts_every);
    if (aggregated && now >= next_whole_) {
        next_whole_ = now + t_.whole_aggregated;
        all_next_ = true;
    }
    weft::Counts c;
    std::vector<tide::Count> every;
    // One that is new needs a baseline of every customer: it alone is told, not all the others once more.
    if (slow && !met_.empty()) {
        weft::Counts b;
        for (const auto& r : basin_->counts(now, true)) put(r, tolerant, &b);
        for (const auto& n : met_) {
            b.seq = ++counts_seq_;
            const std::string to = knell_.address(n);
            if (!to.empty()) d->out.push_back({to, b});
        }
        met_.clear();
    }
    if (all_next_ && slow) every = basin_->counts(now, true);
    const bool all = !every.empty();
    for (const auto& r : all ? every : v) {
        auto& old = told_[r.rec.customer];
        const bool same = old.released == r.rec.released && old.queued == r.rec.queued;
        bool tell = !same;
        // What peers released is theirs to tell; telling on what did not move here would never come to rest.
        if (!r.here && !all) continue;
        if (tolerant) {
            const bool due = now - old.at >= t_.told_latest;
            tell =
                (!same && (due || untold(r) >= std::max(1.0, r.untold / 2) ||
                           (r.untold < 1 && old.queued != r.rec.queued))) ||
                (due && slow &&
                 (!large ||
                  now - old.at >=
                      5 * t_.told_latest));  // once more now and then, lest one frame that was lost cost much
        } else if (slow) {
            tell = true;  // all of it now and then: one frame that was lost costs no more than this
        }
        if (!tell && !all) continue;
        old = {r.rec.released, r.rec.queued, now};
        put(r, tolerant, &c);
    }
    if (all) all_next_ = false;
    if (tolerant)
        for (const auto& n : deaf) c.silent_brief.push_back(weft::brief_hash(n));
    else
        c.silent = deaf;
    if (c.counts.empty() && c.brief.empty() && !slow && deaf == silent_) return;
    silent_ = deaf;
    if (fleet_ <= t_.large && now - well_told_ >= t_.well_every) {
        c.well = pool_->well_since(well_told_);
        well_told_ = now;
    }
    if (fleet_ <= t_.large) c.load = pool_->load_news(true);
    last_counts_ = now;
    c.seq = ++counts_seq_;
    spread_counts(c, d);
}

const char* ProxyCore::counts_way() const {
    if (!aggregators_.in_use()) return "direct";
    return told_sums() ? "aggregated" : "aggregator";
}

void ProxyCore::spread_counts(const weft::Counts& c, Todo* d) {
    if (!aggregators_.in_use()) {
        spread(c, d, false);
        return;
    }
    weft::Counts part = c;
    for (const auto& brief : weft::brief_parts(c.brief)) {
        part.brief = brief;
        for (const auto& name : aggregators_.names())
            if (name != knell_.name()) d->out.push_back({knell_.address(name), part});
        counts_seq_ = part.seq++;
    }
}

// Live proxies that this one should hear and does not. Where aggregators pass counts on only they hear the others.
std::vector<std::string> ProxyCore::missed_peers(Micros now) const {
    if (told_sums()) return {};
    return sight_.missed(knell_, now, sight_.window());
}

void ProxyCore::tell_sums(Micros now, const std::vector<tide::Count>& recent, Todo* d) {
    if (!aggregators_.is_one(knell_.name())) return;
    const bool every = sums_teller_.wants_every(now);
    if (!sums_teller_.due(now, recent, tally_) && !every) return;
    if (every) sums_teller_.told_every(now);
    const auto& customers = every ? basin_->counts(now, true) : sums_teller_.chosen();
    const auto view = sight(now);
    const std::uint64_t first = counts_seq_ + 1;
    for (const auto* member : knell_.live("proxy")) {
        const auto& name = member->rec.name;
        if (aggregators_.is_one(name) || !sight_.in_sight(*member, now)) continue;
        const auto tellers = aggregators_.of(name, member->rec.locality);
        if (std::find(tellers.begin(), tellers.end(), knell_.name()) == tellers.end()) continue;
        auto word = SumsTeller::word(name, customers, tally_, view, first);
        for (const auto& brief : weft::brief_parts(std::exchange(word.brief, {}))) {
            word.brief = brief;
            d->out.push_back({member->rec.address, word});
            counts_seq_ = std::max(counts_seq_, word.seq++);
        }
    }
}

// All others as one partner, by the aggregator that knows most of them.
void ProxyCore::hear_sums(Micros now, const weft::Envelope& e, const weft::FleetSums& sums) {
    weft::Counts counts;
    if (!sums_reader_.hear(e.from, e.inc, sums, &counts)) return;
    sums_reader_.heard(now, e.from, sums);
    const auto sensed = sums_tally_.hear(now, kAllOthers, 1, counts);
    if (told_sums()) basin_->sense(now, sensed, sums_tally_);
}

void ProxyCore::tick(Micros now, Todo* d) {
    knell_.tick(now, &d->out);
    follower_.roster(control_nodes());
    follower_.tick(now, number(), hash_, &d->out);
    world(now);
    auto& heard = told_sums() ? sums_tally_ : tally_;
    const auto s = heard.tick(now, heard.doubts(now) ? basin_->shares() : std::map<std::string, double>{},
                              standing_ == tide::Standing::part);
    basin_->sense(now, s, heard);
    const auto all = basin_->counts(now);
    counts(now, all, d);
    tell_sums(now, all, d);
    ask_for_missed(now, d);
    if (now >= next_worst_) {
        next_worst_ = now + tide::Worst::kEvery;
        for (const auto& c : all)
            worst_[c.rec.customer].note(now,
                                        static_cast<double>(c.rec.released) + heard.told(c.rec.customer));
    }
    d->list = listing_.tick(now, {fleet_ > t_.large, follower_.ready(), control_nodes()}, &d->out);
    // What a server said of its own leaving, to any of us, is told to all (docs/design.md 7.3).
    const auto gone = pool_->leaving_news();
    if (!gone.empty()) spread(weft::Probes{gone}, d, false);
    if (fleet_ > t_.large) return;
    tell_load(now, d);
    if (now >= next_probe_) {
        next_probe_ = now + t_.probe_every;
        for (const auto& r : pool_->unseen_since(now - t_.probe_every))
            if (knell_.mine("probe/" + r.address, "proxy")) d->probe.push_back(r);
    }
}

// Within a zone bytes are cheap, and what peers have in flight decides: told between counts (docs/design.md 7.3).
void ProxyCore::tell_load(Micros now, Todo* d) {
    if (now < next_load_) return;
    next_load_ = now + t_.load_every;
    weft::Load l;
    l.load = pool_->load_news(false);
    if (l.load.empty()) return;
    l.seq = ++counts_seq_;
    for (const auto* m : knell_.live("proxy"))
        if (m->rec.locality == knell_.locality()) d->out.push_back({m->rec.address, l});
}

// Peers that are live for the fleet and silent here are asked for of those that are heard (docs/design.md 6.5).
void ProxyCore::ask_for_missed(Micros now, Todo* d) {
    // A pair that is cut is asked for, not the greater part of a fleet: who has lost that keeps to its part anyway.
    if (told_sums() || standing_ != tide::Standing::whole) return;
    const auto patience = static_cast<Micros>(static_cast<double>(keep_) * t_.relay_after);
    const auto missed = sight_.missed(knell_, now, patience);
    if (missed.empty()) return;
    auto helpers = sight_.in_reach(knell_, now, patience);
    if (aggregators_.in_use())  // only they hear the others
        helpers.erase(std::remove_if(helpers.begin(), helpers.end(),
                                     [this](const std::string& name) { return !aggregators_.is_one(name); }),
                      helpers.end());
    const auto ask = counts_relay_.ask(now, missed, helpers);
    for (const auto& helper : ask.helpers) d->out.push_back({knell_.address(helper), ask.message});
}

void ProxyCore::hear_counts(Micros now, const weft::Envelope& e, const weft::Counts& said, Todo* d) {
    const bool met = tally_.knows(e.from, e.inc);
    const auto sensed = tally_.hear(now, e.from, e.inc, said);
    if (!told_sums()) basin_->sense(now, sensed, tally_);
    if (!met && !aggregators_.in_use()) met_.insert(e.from);
    const auto& brief = said.silent_brief;
    const bool misses_us =
        std::find(said.silent.begin(), said.silent.end(), knell_.name()) != said.silent.end() ||
        std::find(brief.begin(), brief.end(), weft::brief_hash(knell_.name())) != brief.end();
    sight_.heard(now, e.from, e.inc, said.seq, misses_us);
    pool_->told_well(now, said.well);
    pool_->told_load(now, e.from, e.inc, said.seq, said.load);
    const auto listeners = counts_relay_.listeners(now, e.from);
    if (listeners.empty()) return;
    weft::RelayedCounts relayed;
    relayed.origin = e.from;
    relayed.inc = e.inc;
    relayed.counts.seq = said.seq;
    relayed.counts.counts = said.counts;
    relayed.counts.brief = said.brief;
    for (const auto& listener : listeners) {
        const std::string to = knell_.address(listener);
        if (!to.empty()) d->out.push_back({to, relayed});
    }
}

// As if it had come straight, but for the sight: whom we hear ourselves is another matter.
void ProxyCore::hear_relayed(Micros now, const weft::RelayedCounts& relayed) {
    if (relayed.origin == knell_.name()) return;
    ++relayed_;
    const auto sensed = tally_.hear(now, relayed.origin, relayed.inc, relayed.counts);
    if (!told_sums()) basin_->sense(now, sensed, tally_);
}

void ProxyCore::hear_feed(Micros now, const weft::Envelope& e, const weft::FeedSaid& said, bool fresh,
                          Todo* d) {
    if (fresh) note_number(now, said.commit);
    for (const auto& c : follower_.hear(now, e, &d->out)) {
        if (c.kind == consensus::kServerMark) pool_->mark(c.hash, c.text == "drain");
        if (c.kind == consensus::kBundle && take_bundle(now, c, d) == Taken::unreadable)
            follower_.ask_whole(now, e.from, &d->out);
    }
}

// A member acts on a higher bundle: the control nodes are asked at once, and where they are out of reach, or
// far, whoever acts on it has it (docs/design.md 5.4). In a large fleet all asking all would fill links: one
// control node is asked, then a peer, and so on in turn.
void ProxyCore::hear_beat(Micros now, const weft::MemberRec& from, std::uint64_t number_heard, Todo* d) {
    if (number_heard <= number()) return;
    note_number(now, number_heard);
    const bool large = fleet_ > t_.large;
    if (!large) follower_.hurry(now);
    if (now < next_pull_ || !follower_.ready()) return;
    // One pull at a time: texts may be long, and links slow.
    const bool under_way = !pulled_from_.empty() && now < pull_until_;
    const bool may_pull = from.role == "proxy" && !under_way;
    if (large && !(may_pull && peer_next_)) {
        next_pull_ = now + t_.pull_every;
        peer_next_ = true;
        follower_.hurry_one(now);
    } else if (may_pull) {
        pull(now, from, d);
    }
}

void ProxyCore::pull(Micros now, const weft::MemberRec& from, Todo* d) {
    next_pull_ = now + t_.pull_every;
    pull_until_ = now + t_.pull_wait;
    peer_next_ = false;
    pulled_from_ = from.name;
    d->out.push_back({from.address, weft::BundleAsk{number(), pull_whole_ ? std::string() : hash_}});
}

void ProxyCore::hear_pulled(Micros now, const std::string& from, const weft::ChangeRec& told, Todo* d) {
    if (from == pulled_from_) pulled_from_.clear();
    pull_whole_ = take_bundle(now, told, d) == Taken::unreadable;
}

// Only what we act on, and only to one that acts on less.
void ProxyCore::answer_pull(const std::string& to, const weft::BundleAsk& ask, Todo* d) {
    if (to.empty() || number() <= ask.commit) return;
    weft::BundleSaid said;
    said.bundle.kind = consensus::kBundle;
    said.bundle.number = number();
    said.bundle.hash = hash_;
    said.bundle.text = contents_.packed(hash_, ask.hash, &said.bundle.base);
    d->out.push_back({to, said});
}

// A seed is a witness to the control nodes' founding: it names those that it knows (docs/control.md, "First
// start").
void ProxyCore::answer_founding(Micros now, const std::string& to, std::uint64_t nonce, Todo* d) const {
    if (to.empty()) return;
    weft::FoundingSaid said;
    said.nonce = nonce;
    for (const auto& node : consensus::control_nodes_known(knell_, now, consensus::FoundingConfig{}.hold))
        said.nodes.push_back(node.first);
    d->out.push_back({to, said});
}

void ProxyCore::hear(Micros now, const weft::Envelope& e, Todo* d) {
    const bool fresh = knell_.hear(now, e, &d->out);
    if (const auto* c = std::get_if<weft::Counts>(&e.msg)) {
        hear_counts(now, e, *c, d);
        return;
    }
    if (const auto* sums = std::get_if<weft::FleetSums>(&e.msg)) {
        hear_sums(now, e, *sums);
        return;
    }
    if (const auto* r = std::get_if<weft::RelayedCounts>(&e.msg)) {
        hear_relayed(now, *r);
        return;
    }
    if (const auto* q = std::get_if<weft::RelayAsk>(&e.msg)) {
        counts_relay_.asked(now, e.from, q->peers);
        return;
    }
    if (const auto* l = std::get_if<weft::Load>(&e.msg)) {
        pool_->told_load(now, e.from, e.inc, l->seq, l->load);
        return;
    }
    if (const auto* h = std::get_if<weft::Heartbeat>(&e.msg)) {
        if (fresh) hear_beat(now, h->me, h->commit, d);
        return;
    }
    if (const auto* f = std::get_if<weft::FeedSaid>(&e.msg)) {
        hear_feed(now, e, *f, fresh, d);
        return;
    }
    if (const auto* q = std::get_if<weft::BundleAsk>(&e.msg)) {
        answer_pull(knell_.address(e.from), *q, d);
        return;
    }
    if (const auto* b = std::get_if<weft::BundleSaid>(&e.msg)) {
        hear_pulled(now, e.from, b->bundle, d);
        return;
    }
    if (const auto* q = std::get_if<weft::FoundingAsk>(&e.msg)) {
        answer_founding(now, knell_.address(e.from), q->nonce, d);
        return;
    }
    if (const auto* l = std::get_if<weft::Listing>(&e.msg)) {
        if (!listing_.hear(now, e.from, *l)) ++refused_;
        return;
    }
    if (const auto* change = std::get_if<weft::ListingChange>(&e.msg)) {
        if (!listing_.hear(now, e.from, *change)) ++refused_;
        return;
    }
    if (const auto* digest = std::get_if<weft::ListingDigest>(&e.msg)) {
        if (fresh) listing_.hear(now, e.from, e.inc, *digest, &d->out);
        return;
    }
    if (const auto* ask = std::get_if<weft::ListingDigestAsk>(&e.msg)) {
        listing_.hear(now, e.from, *ask, &d->out);
        return;
    }
    if (const auto* q = std::get_if<weft::ListingAsk>(&e.msg)) {
        listing_.hear(e.from, *q, &d->out);
        return;
    }
    if (const auto* p = std::get_if<weft::Probes>(&e.msg)) {
        if (!fresh) return;
        for (const auto& r : p->probes) pool_->probe(now, r.address, r.instance, r.verdict);
    }
}

void ProxyCore::listed(Micros now, std::uint64_t question, std::vector<weft::ServerRec> v, Todo* d) {
    listing_.listed(now, question, std::move(v), &d->out);
}

void ProxyCore::list_failed(Micros now, std::uint64_t question, Micros retry_after) {
    listing_.failed(now, question, retry_after);
}

void ProxyCore::probed(Micros now, const std::vector<weft::ProbeRec>& v, Todo* d) {
    if (v.empty()) return;
    for (const auto& r : v) pool_->probe(now, r.address, r.instance, r.verdict);
    spread(weft::Probes{v}, d, false);
}

void ProxyCore::say(knell::State s, Micros now, Todo* d) {
    if (s == knell::kLeft) {
        last_counts_ = -pith::kNever;
        next_counts_ = next_soon_ = 0;
        all_next_ = true;
        counts(now, basin_->counts(now, true), d);
    }
    knell_.say(s, now, &d->out);
}

}  // namespace span
