#define BOOST_TEST_MODULE knell_large_fleet
// What membership costs each node of a large fleet in bytes, over links that delay and lose.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

#include "knell/knell.hpp"
#include "pith/hash.hpp"

using namespace knell;
using pith::kMilli;
using pith::kSecond;
using pith::Micros;

namespace {

constexpr Micros kTick = 50 * kMilli;
constexpr std::size_t kBudget = 6000;  // bytes a node and second, for all control traffic

class Fleet {
  public:
    Fleet(std::size_t size, std::uint64_t seed) : random_(seed) {
        for (std::size_t i = 0; i < size; ++i) {
            Config config;
            config.name = name(i);
            config.address = config.operator_address = address(i);
            config.locality = "zone-" + std::to_string(i % 5);
            config.role = "proxy";
            config.seeds = {address(0), address(1), address(2)};
            nodes_.push_back(std::make_unique<Knell>(config));
            bytes_.push_back(0);
            by_address_[address(i)] = i;
            at(static_cast<Micros>(random_.below(300 * kMilli)), [this, i] { tick(i); });
        }
    }
    void run(Micros time) {
        const Micros until = now_ + time;
        while (!events_.empty() && events_.top().at <= until) {
            auto event = events_.top();
            events_.pop();
            now_ = event.at;
            event.act();
        }
        now_ = until;
    }
    void lose(std::size_t i) { lost_ = i; }
    void drain(std::size_t i) {
        weft::Out out;
        nodes_[i]->say(kDraining, now_, &out);
        send(i, out);
    }
    bool all_know(std::size_t i, State state) const {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
            if (node->name() == name(i) || node->name() == name(lost_)) return true;
            const auto known = node->members().find(name(i));
            return known != node->members().end() && known->second.rec.state == state;
        });
    }
    std::size_t least_known() const {
        std::size_t least = nodes_.size();
        for (const auto& node : nodes_) least = std::min(least, node->live().size() + 1);
        return least;
    }
    /// Bytes that one node said at the most since the last call.
    std::size_t most_said() {
        const std::size_t most = *std::max_element(bytes_.begin(), bytes_.end());
        std::fill(bytes_.begin(), bytes_.end(), 0);
        return most;
    }

  private:
    struct Event {
        Micros at;
        std::uint64_t number;
        std::function<void()> act;
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : number > other.number;
        }
    };
    static constexpr std::size_t kNobody = 1000000;
    static std::string name(std::size_t i) { return "front-zone-" + std::to_string(i); }
    static std::string address(std::size_t i) {
        return "10.1." + std::to_string(i / 200) + "." + std::to_string(20 + i % 200) + ":7560";
    }
    void at(Micros when, std::function<void()> act) { events_.push({when, made_++, std::move(act)}); }
    void tick(std::size_t i) {
        if (i != lost_) {
            weft::Out out;
            nodes_[i]->tick(now_, &out);
            send(i, out);
        }
        at(now_ + kTick, [this, i] { tick(i); });
    }
    void send(std::size_t from, const weft::Out& out) {
        for (const auto& message : out) {
            const weft::Envelope envelope{name(from), nodes_[from]->inc(), ++sequence_, message.msg};
            bytes_[from] += weft::pack("fleet", "", envelope).size();
            const std::size_t to = by_address_.at(message.address);
            constexpr double kLost = 0.01;
            if (to == lost_ || from == lost_ || random_.unit() < kLost) continue;
            const Micros trip = kMilli + static_cast<Micros>(random_.below(5 * kMilli));
            at(now_ + trip, [this, to, envelope] {
                if (to == lost_) return;
                weft::Out answers;
                nodes_[to]->hear(now_, envelope, &answers);
                send(to, answers);
            });
        }
    }

    pith::Rng random_;
    std::vector<std::unique_ptr<Knell>> nodes_;
    std::vector<std::size_t> bytes_;
    std::unordered_map<std::string, std::size_t> by_address_;
    std::priority_queue<Event> events_;
    std::uint64_t made_ = 0, sequence_ = 0;
    std::size_t lost_ = kNobody;
    Micros now_ = 0;
};

}  // namespace

// Three seeds are all that they are told; traffic begins ten seconds after the start.
BOOST_AUTO_TEST_CASE(machines_that_start_together_know_each_other_before_their_links_are_full) {
    constexpr std::size_t kLink = 250000;  // bytes a second
    for (const std::size_t size : {84u, 300u}) {
        Fleet fleet(size, size);
        std::size_t said = 0, busiest = 0;
        for (int second = 0; second < 5; ++second) {
            fleet.run(kSecond);
            const std::size_t most = fleet.most_said();
            said += most;
            busiest = std::max(busiest, most);
        }
        BOOST_TEST_MESSAGE(size << " nodes: the least that one knows after 5 s: " << fleet.least_known()
                                << "; bytes of the busiest: " << busiest << " in a second, " << said
                                << " in five");
        BOOST_TEST(fleet.least_known() == size);
        // The seeds tell what they know to all; other traffic needs the larger part of the link.
        BOOST_TEST(busiest < kLink / 2);
    }
}

BOOST_AUTO_TEST_CASE(one_change_costs_each_node_less_than_a_second_of_its_budget) {
    for (const std::size_t size : {84u, 300u}) {
        Fleet fleet(size, size + 1);
        fleet.run(10 * kSecond);
        BOOST_TEST(fleet.least_known() == size);
        fleet.most_said();
        fleet.run(2 * kSecond);
        const std::size_t idle = fleet.most_said();
        fleet.drain(7);
        fleet.run(2 * kSecond);
        const std::size_t drained = fleet.most_said();
        BOOST_TEST(fleet.all_know(7, kDraining));
        fleet.lose(11);
        fleet.run(4 * kSecond);
        const std::size_t lost = fleet.most_said();
        BOOST_TEST(fleet.all_know(11, kDown));
        BOOST_TEST_MESSAGE(size << " nodes, bytes of the busiest: 2 s at rest " << idle
                                << ", 2 s with one that drains " << drained << ", 4 s with one that is lost "
                                << lost);
        BOOST_TEST(idle < 2 * kBudget);
        // One that changes tells all of them itself, in small frames.
        constexpr std::size_t kOwnWord = 250;
        BOOST_TEST(drained < idle + kBudget + kOwnWord * size);
        BOOST_TEST(lost < 2 * idle + 2 * kBudget);
    }
}
