#pragma once
/// Control nodes with a network, disks, a failure detector and time that a test moves: the same
/// ControlRegister as in the daemons, one event at a time. A World is a value; copies share what neither
/// changes.
#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "consensus/control_register.hpp"
#include "creed/bundle.hpp"
#include "invariants.hpp"
#include "pith/hash.hpp"

namespace consensus::model {

using pith::Micros;

constexpr std::size_t kMostNodes = 6;
constexpr Micros kTick = 20 * pith::kMilli;        // between ticks of a node
constexpr Micros kDetection = 600 * pith::kMilli;  // silence after which a node is called down
constexpr Micros kLearnsFounding =
    300 * pith::kMilli;  // after its start, a node without a membership is told it

inline std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
    return pith::Rng(a ^ (b * 0xd6e8feb86659fd93ULL)).next();
}

/// A configuration's text; each variant of a number has another content.
inline const std::string& order_text(std::uint64_t number, unsigned variant) {
    static std::map<std::pair<std::uint64_t, unsigned>, std::string> texts;
    std::string& text = texts[{number, variant}];
    if (text.empty())
        text = R"({"number":)" + std::to_string(number) + R"(,"services":[{"name":"s)" +
               std::to_string(variant) +
               R"("}],"routes":[{"name":"r","path":"/r","methods":["GET"],"service":"s)" +
               std::to_string(variant) + R"(","kind":"read","timeout_ms":500}],"customers":[],"keys":[]})";
    return text;
}

inline const std::string& order_hash(std::uint64_t number, unsigned variant) {
    static std::map<std::pair<std::uint64_t, unsigned>, std::string> hashes;
    std::string& hash = hashes[{number, variant}];
    if (hash.empty())
        hash = creed::read_signed(order_text(number, variant), {creed::kUnsigned}).value().bundle.hash;
    return hash;
}

/// How a save that was under way ends when the power goes, or the disk refuses it.
enum class SaveEnd : std::uint8_t { lost, landed };

/// What the network or a disk will do next.
struct Event {
    enum class Type : std::uint8_t { message, save } type = Type::message;
    std::size_t from = 0, to = 0;  // of a save: both its node
    std::shared_ptr<const weft::Envelope> envelope;
    std::shared_ptr<const SaveJob> save;
    std::uint64_t life = 0;  // of the node that asked for the save
    std::uint64_t hash = 0;
};

struct Node {
    std::string name, address;
    std::shared_ptr<const DurableState> disk;
    std::optional<ControlRegister> control;  // none: the process does not run
    std::uint64_t life = 0, sequence = 0, disks = 0;
    bool refuses_writes = false;
    std::shared_ptr<const DurableState> really_on_disk;  // of a disk that lies: what a crash leaves
    bool leaving = false;
    Micros told_founding = pith::kNever;    // when it learns of the founded membership
    std::uint64_t revision = 0, epoch = 0;  // highest known as decided in this life
    std::uint64_t history = 0;              // hash of all that it was fed with
};

struct WorldConfig {
    std::size_t voters = 3, spares = 1;
    ControlTuning tuning;
    ControlMutations mutations;
    bool refuse_old = false;   // lower numbers are refused, not acknowledged
    bool lying_disks = false;  // saves are reported as synced and lost at a crash
};

class World {
  public:
    explicit World(const WorldConfig& config) : config_(std::make_shared<const WorldConfig>(config)) {
        auditor_ = std::make_shared<Auditor>(config.refuse_old);
        count_ = config.voters + config.spares;
        std::vector<weft::Voter> founded;
        for (std::size_t i = 0; i < count_; ++i) {
            auto node = std::make_shared<Node>();
            node->name = std::string(1, static_cast<char>('a' + i));
            node->address = node->name + ".example:1";
            if (i < config.voters) founded.push_back({node->name, node->name + "1", node->address});
            nodes_[i] = std::move(node);
        }
        founded_ = std::make_shared<const std::vector<weft::Voter>>(std::move(founded));
        for (std::size_t i = 0; i < count_; ++i) {
            new_disk(i, true);
            boot(i);
        }
    }

    // -- what there is
    std::size_t size() const { return count_; }
    const Node& node(std::size_t i) const { return *nodes_[i]; }
    bool runs(std::size_t i) const { return nodes_[i]->control.has_value(); }
    Micros now() const { return now_; }
    const std::vector<Event>& queue() const { return queue_; }
    const std::vector<Event>& parked() const { return parked_; }
    const std::optional<Violation>& violation() const { return auditor_->violation(); }
    const Auditor& auditor() const { return *auditor_; }
    Auditor& edit_auditor() { return own(&auditor_); }
    bool is_cut(std::size_t a, std::size_t b) const { return cut_[a][b]; }
    const WorldConfig& config() const { return *config_; }
    void log_to(std::ostream* log) { log_ = log; }

    /// Two worlds with the same fingerprint go on alike: nodes are functions of what they were fed with, in
    /// order.
    std::uint64_t fingerprint() const {
        std::uint64_t mixed = mix(static_cast<std::uint64_t>(now_), auditor_->fingerprint());
        for (std::size_t i = 0; i < count_; ++i) {
            mixed = mix(mixed, nodes_[i]->history);
            mixed = mix(mixed, (runs(i) ? 1U : 0U) + (nodes_[i]->refuses_writes ? 2U : 0U));
            for (std::size_t j = 0; j < count_; ++j) {
                const View& view = views_[i][j];
                mixed = mix(mixed, (cut_[i][j] ? 1U : 0U) + (view.live ? 2U : 0U));
                mixed = mix(mixed, static_cast<std::uint64_t>(view.since ^ view.silent_since));
            }
        }
        for (const auto& event : queue_) mixed = mix(mixed, event.hash);
        std::uint64_t set = 0;
        for (const auto& event : parked_) set += mix(1, event.hash);
        return mix(mixed, set);
    }

    // -- the network and the disks
    /// The oldest event in flight happens.
    void step() { execute(take(&queue_, 0)); }
    void step(std::size_t index) { execute(take(&queue_, index)); }
    /// Held back for as long as the test likes: this covers loss, delay and reordering.
    void park(std::size_t index) { parked_.push_back(take(&queue_, index)); }
    void park_copy(std::size_t index) { parked_.push_back(queue_[index]); }
    void release(std::size_t index) { execute(take(&parked_, index)); }
    void drop(std::size_t index) { take(&queue_, index); }
    /// What was held back is lost; a write that was slow ends.
    void end_parked() {
        std::vector<Event> parked;
        parked.swap(parked_);
        for (const auto& event : parked)
            if (event.type == Event::Type::save) queue_.push_back(event);
    }
    void fail_save(std::size_t index, SaveEnd end) {
        const Event event = take(&queue_, index);
        if (end == SaveEnd::landed) write(event);
        finish_save(event, false);
    }
    void cut(std::size_t a, std::size_t b, bool is) { cut_[a][b] = cut_[b][a] = is; }
    void isolate(std::size_t i, bool is) {
        for (std::size_t j = 0; j < count_; ++j)
            if (j != i) cut(i, j, is);
    }

    // -- time
    /// One tick of every node that runs.
    void tick() {
        now_ += kTick;
        for (std::size_t i = 0; i < count_; ++i) {
            if (!runs(i)) continue;
            Node& node = edit(i);
            if (view_peers(i)) tell_peers(i);
            Actions actions;
            if (now_ >= node.told_founding) tell_founding(i, &actions);
            node.control->tick(now_, &actions);
            take_actions(i, &actions);
        }
    }
    /// Until something is in flight, or `until`.
    void advance(Micros until) {
        do tick();
        while (queue_.empty() && now_ < until);
    }

    // -- nodes
    void crash(std::size_t i, SaveEnd end = SaveEnd::lost) {
        if (!runs(i)) return;
        say(i, end == SaveEnd::lost ? "crashes" : "crashes after its write landed");
        std::vector<Event> left;
        for (const auto& event : queue_) settle_save(i, event, end, &left);
        queue_.swap(left);
        left.clear();
        for (const auto& event : parked_) settle_save(i, event, end, &left);
        parked_.swap(left);
        Node& node = edit(i);
        node.control.reset();
        if (node.really_on_disk != nullptr) node.disk = node.really_on_disk;
        check_holders();
        feed(i, 0xc0, static_cast<std::uint64_t>(end));
        Auditor& auditor = edit_auditor();
        for (const auto op : open_ops_[i]) auditor.abandon(op);
        open_ops_[i].clear();
    }
    void start(std::size_t i) {
        if (runs(i)) return;
        say(i, "starts");
        feed(i, 0x57, 0);
        boot(i);
    }
    /// The disk is emptied, or the machine replaced by another of that name; the process must be down.
    void wipe(std::size_t i) {
        say(i, "gets an empty disk");
        feed(i, 0x3e, 0);
        new_disk(i, false);
    }
    void refuse_writes(std::size_t i, bool is) {
        say(i, is ? "its disk refuses writes" : "its disk takes writes");
        edit(i).refuses_writes = is;
    }
    void leave(std::size_t i) {
        say(i, "is told to leave");
        Node& node = edit(i);
        node.leaving = true;
        node.control->leaving();
        feed(i, 0x1e, 0);
    }

    // -- operators
    std::uint64_t order(std::size_t i, std::uint64_t number, unsigned variant) {
        const std::uint64_t op = ++next_op_;
        say(i, "is sent order " + std::to_string(number) + "/" + order_hash(number, variant).substr(0, 6));
        edit_auditor().order_started(op, "op" + std::to_string(op) + "@" + nodes_[i]->name, number,
                                     order_hash(number, variant));
        open_ops_[i].push_back(op);
        feed(i, 0x0d, mix(number, variant));
        Actions actions;
        edit(i).control->order(now_, op, order_text(number, variant), &actions);
        take_actions(i, &actions);
        return op;
    }
    std::uint64_t read(std::size_t i) {
        const std::uint64_t op = ++next_op_;
        say(i, "is asked");
        edit_auditor().read_started(op, "op" + std::to_string(op) + "@" + nodes_[i]->name);
        open_ops_[i].push_back(op);
        feed(i, 0x4e, op);
        Actions actions;
        edit(i).control->read(now_, op, &actions);
        take_actions(i, &actions);
        return op;
    }

  private:
    template <class T>
    static T& own(std::shared_ptr<T>* shared) {
        if (shared->use_count() > 1) *shared = std::make_shared<T>(**shared);
        return **shared;
    }
    Node& edit(std::size_t i) { return own(&nodes_[i]); }
    void feed(std::size_t i, std::uint64_t kind, std::uint64_t what) {
        Node& node = edit(i);
        node.history = mix(mix(node.history, kind), mix(what, static_cast<std::uint64_t>(now_)));
    }
    static Event take(std::vector<Event>* from, std::size_t index) {
        Event event = std::move((*from)[index]);
        from->erase(from->begin() + static_cast<std::ptrdiff_t>(index));
        return event;
    }
    void say(std::size_t i, const std::string& what) {
        if (log_ != nullptr)
            *log_ << now_ / pith::kMilli << " ms  " << nodes_[i]->name << " " << what << "\n";
    }

    void new_disk(std::size_t i, bool founded) {
        Node& node = edit(i);
        DurableState disk;
        disk.disk = node.name + std::to_string(++node.disks);
        if (founded) {
            disk.founded = true;
            disk.founding.founder = "a";
            disk.founding.id = 1;
            disk.founding.voters = *founded_;
        }
        node.disk = std::make_shared<const DurableState>(std::move(disk));
        node.really_on_disk.reset();
    }

    void boot(std::size_t i) {
        Node& node = edit(i);
        ControlConfig config;
        config.name = node.name;
        config.address = node.address;
        config.signers = {creed::kUnsigned};
        config.life = ++node.life * kMostNodes + i;
        config.tuning = config_->tuning;
        config.mutations = config_->mutations;
        config.refuse_old = config_->refuse_old;
        node.revision = node.epoch = 0;
        node.leaving = false;
        if (config_->lying_disks) node.really_on_disk = node.disk;
        node.control.emplace(config, *node.disk);
        edit_auditor().synced(node.name, *node.disk);  // also what landed without a word
        for (std::size_t j = 0; j < count_; ++j) views_[i][j] = View{};
        view_peers(i);
        tell_peers(i);
        Actions actions;
        node.told_founding = node.disk->founded ? pith::kNever : now_ + kLearnsFounding;
        if (node.disk->founded) node.control->found(node.disk->founding.voters, &actions);
        take_actions(i, &actions);
    }

    /// What another node tells a new one: the first membership, however long ago that was.
    void tell_founding(std::size_t i, Actions* actions) {
        Node& node = edit(i);
        node.told_founding = pith::kNever;
        DurableState& document = node.control->acceptor().edit();
        document.founded = true;
        document.founding.voters = *founded_;
        node.control->found(*founded_, actions);
    }

    // -- the failure detector
    struct View {
        bool live = true;
        Micros since = 0, silent_since = pith::kNever;
    };
    bool reachable(std::size_t i, std::size_t j) const { return runs(j) && !cut_[i][j]; }
    /// True where what node `i` believes of the others has changed.
    bool view_peers(std::size_t i) {
        bool changed = false;
        for (std::size_t j = 0; j < count_; ++j) {
            View& view = views_[i][j];
            if (reachable(i, j)) {
                view.silent_since = pith::kNever;
            } else if (view.silent_since == pith::kNever) {
                view.silent_since = now_;
            }
            const bool live = view.silent_since == pith::kNever || now_ - view.silent_since < kDetection;
            changed = changed || live != view.live || views_leaving_[i][j] != nodes_[j]->leaving;
            views_leaving_[i][j] = nodes_[j]->leaving;
            if (live != view.live) view = View{live, now_, view.silent_since};
        }
        return changed;
    }
    void tell_peers(std::size_t i) {
        std::map<std::string, Peer> peers;
        for (std::size_t j = 0; j < count_; ++j) {
            if (j == i) continue;
            Peer& peer = peers[nodes_[j]->name];
            peer.address = nodes_[j]->address;
            peer.zone = "zone-" + nodes_[j]->name;
            peer.live = views_[i][j].live;
            peer.leaving = nodes_[j]->leaving;
            peer.since = views_[i][j].since;
        }
        edit(i).control->peers(std::move(peers));
    }

    // -- events
    void execute(const Event& event) {
        if (event.type == Event::Type::save) {
            if (!nodes_[event.to]->refuses_writes) write(event);
            finish_save(event, !nodes_[event.to]->refuses_writes);
            return;
        }
        if (!runs(event.to) || cut_[event.from][event.to]) return;
        say(event.to, "hears " + summary(*event.envelope));
        feed(event.to, 0x3e5, event.hash);
        Actions actions;
        edit(event.to).control->hear(now_, *event.envelope, &actions);
        take_actions(event.to, &actions);
    }

    void write(const Event& event) {
        Node& node = edit(event.to);
        node.disk = std::shared_ptr<const DurableState>(event.save, &event.save->state);
        check_holders();
    }

    void finish_save(const Event& event, bool ok) {
        Node& node = edit(event.to);
        if (!node.control || node.life != event.life) return;
        say(event.to, std::string(ok ? "has synced " : "failed to sync ") +
                          describe(event.save->state.accepted) + " " + describe(event.save->state.state) +
                          " promised " + describe(event.save->state.promised));
        if (ok) edit_auditor().synced(node.name, event.save->state);
        feed(event.to, ok ? 0x5a : 0x5b, event.hash);
        Actions actions;
        node.control->saved(now_, event.save->token, ok, &actions);
        take_actions(event.to, &actions);
    }

    void settle_save(std::size_t i, const Event& event, SaveEnd end, std::vector<Event>* left) {
        if (event.type != Event::Type::save || event.to != i) {
            left->push_back(event);
            return;
        }
        if (end == SaveEnd::landed) write(event);
    }

    void take_actions(std::size_t i, Actions* actions) {
        Node& node = edit(i);
        for (auto& send : actions->out) {
            const auto to = std::find_if(nodes_.begin(), nodes_.begin() + static_cast<std::ptrdiff_t>(count_),
                                         [&send](const auto& n) { return n->address == send.address; });
            if (to == nodes_.begin() + static_cast<std::ptrdiff_t>(count_)) continue;
            send_message(i, static_cast<std::size_t>(to - nodes_.begin()), std::move(send.msg));
        }
        for (auto& job : actions->saves) {
            Event event;
            event.type = Event::Type::save;
            event.from = event.to = i;
            event.life = node.life;
            event.hash = mix(mix(job.token, node.life), i + 1);
            event.save = std::make_shared<const SaveJob>(std::move(job));
            queue_.push_back(std::move(event));
        }
        watch_decided(i);
        for (const auto& answer : actions->answers) take_answer(i, answer);
    }

    void send_message(std::size_t from, std::size_t to, weft::Msg message) {
        Node& node = edit(from);
        auto envelope = std::make_shared<weft::Envelope>();
        envelope->from = node.name;
        envelope->inc = node.life;
        envelope->seq = ++node.sequence;
        envelope->msg = std::move(message);
        Event event;
        event.from = from;
        event.to = to;
        weft::Writer writer;
        std::visit([&writer](const auto& m) { put_message(&writer, m); }, envelope->msg);
        event.hash = mix(mix(std::hash<std::string>()(writer.bytes()), envelope->msg.index()),
                         from * kMostNodes + to + envelope->inc * 64);
        event.envelope = std::move(envelope);
        queue_.push_back(std::move(event));
    }
    static void put_message(weft::Writer* /*writer*/, const std::monostate& /*none*/) {}
    template <class Message>
    static void put_message(weft::Writer* writer, const Message& message) {
        writer->put(message);
    }

    void watch_decided(std::size_t i) {
        Node& node = edit(i);
        const weft::ControlState& state = node.control->decided();
        if (!node.control->known()) return;
        if (state.revision < node.revision || state.epoch < node.epoch)
            edit_auditor().fail(Invariant::no_way_back, node.name + " went back to " + describe(state));
        if (state.revision == node.revision && node.epoch != 0) return;
        say(i, "knows as decided " + describe(state));
        node.revision = state.revision;
        node.epoch = state.epoch;
        edit_auditor().decided(node.name, state);
        check_holders();
    }

    void take_answer(std::size_t i, const Answer& answer) {
        auto& open = open_ops_[i];
        open.erase(std::remove(open.begin(), open.end(), answer.op), open.end());
        edit_auditor().answered(answer);
        say(i, "answers " + describe(auditor_->call(answer.op)) +
                   (answer.result ? " with " + std::to_string(*answer.result)
                                  : " " + answer.result.error().message));
    }

    void check_holders() {
        std::vector<DiskView> disks;
        for (std::size_t i = 0; i < count_; ++i) disks.push_back({nodes_[i]->name, nodes_[i]->disk.get()});
        if (!auditor_->holders_are_enough(disks)) edit_auditor().fail_holders();
    }

    static std::string summary(const weft::Envelope& envelope) {
        std::string text = std::string(weft::msg_name(envelope.msg)) + " of " + envelope.from;
        if (const auto* prepare = std::get_if<weft::PrepareAsk>(&envelope.msg))
            text += " " + describe(prepare->ballot);
        if (const auto* said = std::get_if<weft::PrepareSaid>(&envelope.msg))
            text += std::string(said->ok != 0 ? " ok " : " no ") + describe(said->accepted) + " " +
                    describe(said->state) + " promised " + describe(said->promised);
        if (const auto* accept = std::get_if<weft::AcceptAsk>(&envelope.msg))
            text += " " + describe(accept->ballot) + " " + describe(accept->state);
        if (const auto* said = std::get_if<weft::AcceptSaid>(&envelope.msg))
            text += said->ok != 0 ? " ok" : " no";
        if (const auto* decided = std::get_if<weft::Decided>(&envelope.msg))
            text += " " + describe(decided->state);
        return text;
    }

    std::shared_ptr<const WorldConfig> config_;
    std::shared_ptr<const std::vector<weft::Voter>> founded_;
    std::size_t count_ = 0;
    std::array<std::shared_ptr<Node>, kMostNodes> nodes_;
    std::array<std::array<bool, kMostNodes>, kMostNodes> cut_{}, views_leaving_{};
    std::array<std::array<View, kMostNodes>, kMostNodes> views_;
    std::array<std::vector<std::uint64_t>, kMostNodes> open_ops_;
    std::vector<Event> queue_, parked_;
    std::shared_ptr<Auditor> auditor_;
    std::uint64_t next_op_ = 0;
    Micros now_ = 0;
    std::ostream* log_ = nullptr;
};

}  // namespace consensus::model
