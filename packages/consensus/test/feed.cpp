#define BOOST_TEST_MODULE consensus_feed
#include "consensus/feed.hpp"

#include <malloc.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <new>
#include <set>

#include "pith/hash.hpp"

// Bytes that were taken with new and not given back: the bound on a feed's memory is checked by them.
namespace {
std::atomic<std::int64_t> bytes_held{0};
}  // namespace

void* operator new(std::size_t size) {
    void* block = std::malloc(size);
    if (block == nullptr) throw std::bad_alloc();
    bytes_held += static_cast<std::int64_t>(malloc_usable_size(block));
    return block;
}
void operator delete(void* block) noexcept {
    if (block != nullptr) bytes_held -= static_cast<std::int64_t>(malloc_usable_size(block));
    std::free(block);
}
void operator delete(void* block, std::size_t) noexcept { operator delete(block); }

using namespace consensus;
using pith::kMilli;
using pith::kSecond;

namespace {

constexpr std::uint64_t kNonce = 77;  // of the followers here

// Text that does not compress by itself; two of them differ by `number` only.
std::string long_text(std::uint64_t number, std::size_t size) {
    static const std::string noise = [] {
        std::string bytes;
        for (std::uint64_t i = 0; bytes.size() < 1024 * 1024; ++i)
            bytes += pith::digest_hex(std::to_string(i));
        return bytes;
    }();
    std::string text = "{\"number\":" + std::to_string(number) + ",\"note\":\"" + noise.substr(0, size);
    text.resize(size - 2);
    return text + "\"}";
}

std::string hash_of(const std::string& text) { return pith::digest_hex(text); }

// A control node's feed and the texts that it holds.
struct Node {
    Feed feed;
    ContentStore contents;
    explicit Node(std::uint64_t id) : feed(id) {}
    std::string decide(std::uint64_t number, std::size_t size = 400) {
        const std::string text = long_text(number, size), hash = hash_of(text);
        contents.put(hash, text);
        feed.bundle(number, hash);
        return hash;
    }
    void mark(const std::string& server, const std::string& text) {
        feed.mark({0, kServerMark, 0, server, text, {}});
    }
    weft::FeedSaid answer(weft::FeedAsk ask, bool confirmed = false) {
        auto said = feed.answer(ask, &contents);
        said.confirmed = confirmed ? 1 : 0;
        said.nonce = kNonce;
        return said;
    }
    weft::FeedSaid news() { return feed.news(&contents); }
};

weft::Envelope from(const std::string& name, weft::FeedSaid said) { return {name, 1, 0, std::move(said)}; }

const weft::FeedAsk* ask_to(const weft::Out& out, const std::string& address) {
    for (const auto& send : out)
        if (send.address == address)
            if (const auto* ask = std::get_if<weft::FeedAsk>(&send.msg)) return ask;
    return nullptr;
}

std::set<std::string> asked(const weft::Out& out) {
    std::set<std::string> addresses;
    for (const auto& send : out) addresses.insert(send.address);
    return addresses;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_follower_starts_from_a_digest_and_follows) {
    Node node(5);
    Follower follower(kSecond, kNonce);
    follower.roster({{"k1", "k1"}});
    weft::Out out;
    follower.tick(0, 0, "", &out);
    const auto carry = [&](pith::Micros now) {
        weft::Out more;
        std::vector<weft::ChangeRec> changes;
        for (const auto& send : out)
            if (const auto* ask = std::get_if<weft::FeedAsk>(&send.msg)) {
                const auto heard = follower.hear(now, from("k1", node.answer(*ask, true)), &more);
                changes.insert(changes.end(), heard.begin(), heard.end());
            }
        out = more;
        return changes;
    };
    node.decide(3);
    BOOST_TEST(carry(0).size() == 1u);
    BOOST_TEST(follower.ready());
    node.decide(4);
    BOOST_TEST(follower.hear(1, from("k1", node.news()), &out).size() == 1u);
    node.mark("s", "drain");
    node.decide(5);
    node.decide(6);
    BOOST_TEST(follower.hear(2, from("k1", node.news()), &out).empty());  // a gap is noticed
    BOOST_TEST_REQUIRE(out.size() == 1u);                                 // and asked about at once
    BOOST_TEST(std::get<weft::FeedAsk>(out[0].msg).place == 2u);
    // The superseded bundle is not told any more, but its place is: there is no further gap.
    const auto changes = carry(3);
    BOOST_TEST_REQUIRE(changes.size() == 2u);
    BOOST_TEST(changes[0].text == "drain");
    BOOST_TEST(changes[1].number == 6u);
    BOOST_TEST(out.empty());
    follower.tick(4, 6, "h", &out);
    out.clear();
    BOOST_TEST(
        follower.hear(4, from("k1", node.news()), &out).empty());  // what is known is not told on again
    node.mark("s", "serve");
    BOOST_TEST(follower.hear(5, from("k1", node.news()), &out).back().text == "serve");
    BOOST_TEST(out.empty());
}

// What was told before, or by a former life of the node, does not count again.
BOOST_AUTO_TEST_CASE(old_answers_are_ignored) {
    Node node(5), later(6);
    Follower follower(kSecond, kNonce);
    follower.roster({{"k1", "k1"}});
    weft::Out out;
    follower.tick(0, 0, "", &out);
    node.mark("s", "drain");
    const auto old = node.answer({});
    node.mark("s", "serve");
    BOOST_TEST(follower.hear(0, from("k1", node.answer({})), &out).size() == 1u);
    BOOST_TEST(follower.hear(1, from("k1", old), &out).empty());
    BOOST_TEST(follower.hear(2, from("k1", node.news()), &out).empty());
    BOOST_TEST(follower.hear(2, from("unheard-of", node.answer({})), &out).empty());
    // A new life of the node: its digest is asked for first.
    out.clear();
    later.mark("t", "drain");
    BOOST_TEST(follower.hear(3, from("k1", later.news()), &out).empty());
    BOOST_TEST_REQUIRE((ask_to(out, "k1") != nullptr));
    BOOST_TEST(follower.hear(4, from("k1", later.answer(*ask_to(out, "k1"))), &out).size() == 1u);
    BOOST_TEST(follower.hear(5, from("k1", later.news()), &out).empty());
}

// Digests of any number of control nodes confirm nothing: they may be the majority of a past membership.
BOOST_AUTO_TEST_CASE(only_a_confirmed_answer_makes_ready) {
    Follower follower(kSecond, kNonce);
    std::map<std::string, std::string> nodes;
    for (int i = 1; i <= 16; ++i) nodes["k" + std::to_string(i)] = "a" + std::to_string(i);
    follower.roster(nodes);
    Node node(5);
    node.decide(7);
    weft::Out out;
    // What was confirmed to a former life of ours may be older than our start.
    auto former = node.answer({}, true);
    former.nonce = kNonce - 1;
    follower.hear(0, from("k1", former), &out);
    BOOST_TEST(!follower.ready());
    for (pith::Micros now = 0; now < kSecond; now += kSecond / 4) {
        out.clear();
        follower.tick(now, 0, "", &out);
        BOOST_TEST(out.size() == 16u);  // all of them, each time
        for (const auto& send : out) BOOST_TEST(std::get<weft::FeedAsk>(send.msg).confirm == 1);
        for (const auto& send : out) BOOST_TEST(std::get<weft::FeedAsk>(send.msg).nonce == kNonce);
        for (const auto& entry : nodes) follower.hear(now, from(entry.first, node.answer({})), &out);
        BOOST_TEST(!follower.ready());
    }
    follower.hear(kSecond, from("k9", node.answer({}, true)), &out);
    BOOST_TEST(follower.ready());
    BOOST_TEST(follower.confirmed_number() == 7u);
    out.clear();
    follower.tick(20 * kSecond, 7, "h", &out);
    BOOST_TEST(out.size() == 16u);
    for (const auto& send : out) BOOST_TEST(std::get<weft::FeedAsk>(send.msg).confirm == 0);
    out.clear();
    follower.tick(21 * kSecond, 7, "h",
                  &out);  // once it is ready they are asked the less often, the more there are
    BOOST_TEST(out.empty());
    follower.tick(25 * kSecond, 7, "h", &out);
    BOOST_TEST(out.size() == 16u);
}

// Of those called down the ones that were heard are asked all the same: after a cut that word may be ours
// alone.
BOOST_AUTO_TEST_CASE(control_nodes_called_down_are_asked_seldom) {
    Follower follower(kSecond, kNonce);
    follower.roster({{"k1", "k1"}, {"k2", "k2"}, {"k4", "k4"}});
    weft::Out out;
    follower.tick(0, 0, "", &out);
    BOOST_TEST(out.size() == 3u);
    Node node(5);
    follower.hear(0, from("k1", node.answer({})), &out);
    follower.hear(0, from("k2", node.answer({})), &out);
    follower.roster({{"k2", "elsewhere"}});  // it moved: it is asked at once
    out.clear();
    follower.tick(1, 0, "", &out);
    BOOST_TEST((asked(out) == std::set<std::string>{"elsewhere"}));
    follower.tick(5 * kSecond, 0, "", &out);
    BOOST_TEST((asked(out) == std::set<std::string>{"elsewhere", "k1"}));
    out.clear();
    follower.tick(5 * kSecond + kSecond / 4, 0, "", &out);
    BOOST_TEST((asked(out) == std::set<std::string>{"elsewhere"}));
    follower.hurry(5 * kSecond + kSecond / 4);
    out.clear();
    follower.tick(5 * kSecond + kSecond / 4, 0, "", &out);
    BOOST_TEST((asked(out) == std::set<std::string>{"elsewhere"}));
    // An answer of one that is called down confirms as well as any other.
    follower.hear(6 * kSecond, from("k1", node.answer({}, true)), &out);
    BOOST_TEST(follower.ready());
}

BOOST_AUTO_TEST_CASE(sixteen_that_are_down_are_kept_in_mind_at_most) {
    Follower follower(kSecond, kNonce);
    Node node(5);
    weft::Out out;
    std::map<std::string, std::string> nodes;
    for (int i = 10; i < 40; ++i) nodes["k" + std::to_string(i)] = "a" + std::to_string(i);
    follower.roster(nodes);
    for (int i = 10; i < 40; ++i) follower.hear(i, from("k" + std::to_string(i), node.answer({})), &out);
    follower.roster({});
    out.clear();
    follower.tick(100 * kSecond, 0, "", &out);
    BOOST_TEST(out.size() == 16u);
    BOOST_TEST((ask_to(out, "a39") != nullptr));  // those heard last
    BOOST_TEST((ask_to(out, "a23") == nullptr));
}

BOOST_AUTO_TEST_CASE(one_is_hurried_in_its_turn) {
    Follower follower(kSecond, kNonce);
    follower.roster({{"k1", "k1"}, {"k2", "k2"}, {"k3", "k3"}});
    Node node(5);
    weft::Out out;
    follower.tick(0, 0, "", &out);
    for (const char* name : {"k1", "k2", "k3"}) follower.hear(0, from(name, node.answer({}, true)), &out);
    follower.tick(kSecond, 0, "", &out);
    const auto hurried = [&](pith::Micros now) {
        out.clear();
        follower.hurry_one(now);
        follower.tick(now, 0, "", &out);
        return asked(out);
    };
    using Set = std::set<std::string>;
    BOOST_TEST((hurried(kSecond + 1) == Set{"k1"}));
    BOOST_TEST((hurried(kSecond + 2) == Set{"k2"}));
    follower.roster({{"k1", "k1"}, {"k2", "k2"}});
    BOOST_TEST((hurried(kSecond + 3) == Set{"k1"}));
}

// News goes as a difference to the bundle before it; an answer as one to what the asker holds, or whole.
BOOST_AUTO_TEST_CASE(texts_are_told_as_differences) {
    constexpr std::size_t kSize = 100 * 1024;
    Node node(5);
    const auto first = node.decide(1, kSize), second = node.decide(2, kSize), third = node.decide(3, kSize);
    const auto news = node.news();
    BOOST_TEST_REQUIRE(news.changes.size() == 1u);
    BOOST_TEST(news.changes[0].base == second);
    BOOST_TEST(news.changes[0].text.size() < kSize / 50);
    BOOST_TEST(unpack_content(news.changes[0].text, long_text(2, kSize)).value() == long_text(3, kSize));

    const auto near = node.answer({0, 0, 1, first, 0});
    BOOST_TEST_REQUIRE(near.changes.size() == 1u);
    BOOST_TEST(near.changes[0].base == first);
    BOOST_TEST(near.changes[0].text.size() < kSize / 50);
    BOOST_TEST(unpack_content(near.changes[0].text, long_text(1, kSize)).value() == long_text(3, kSize));

    const auto far = node.answer({0, 0, 1, "not held here", 0});
    BOOST_TEST_REQUIRE(far.changes.size() == 1u);
    BOOST_TEST(far.changes[0].base == "");
    BOOST_TEST(unpack_content(far.changes[0].text, "").value() == long_text(3, kSize));

    // Nothing of it goes to one that holds it, whether it follows or not.
    BOOST_TEST(node.answer({0, 0, 3, third, 0}).changes.empty());
    BOOST_TEST(node.answer({0, 0, 4, "", 0}).changes.empty());
    for (const auto& change : node.answer({5, 0, 3, third, 0}).changes) BOOST_TEST(change.text == "");
    BOOST_TEST(node.answer({5, 0, 3, third, 0}).changes.size() == 3u);
    BOOST_TEST(node.answer({5, 3, 3, third, 0}).changes.empty());
    BOOST_TEST(node.answer({5, 3, 3, third, 0}).commit == 3u);
}

// The text was lost, or could not be unpacked, after its place was passed: each later answer brings it again.
BOOST_AUTO_TEST_CASE(a_bundle_that_was_passed_by_comes_again) {
    Node node(5);
    node.decide(1);
    node.mark("s", "drain");
    Follower follower(kSecond, kNonce);
    follower.roster({{"k1", "k1"}});
    weft::Out out;
    follower.tick(0, 0, "", &out);
    BOOST_TEST(follower.hear(0, from("k1", node.answer(*ask_to(out, "k1"))), &out).size() == 2u);
    out.clear();
    follower.ask_whole(1, "k1", &out);
    BOOST_TEST_REQUIRE((ask_to(out, "k1") != nullptr));
    BOOST_TEST(ask_to(out, "k1")->commit == 0u);
    BOOST_TEST(ask_to(out, "k1")->hash == "");
    const auto whole = node.answer(*ask_to(out, "k1"));
    BOOST_TEST_REQUIRE(whole.changes.size() == 1u);
    BOOST_TEST(whole.changes[0].base == "");
    BOOST_TEST(follower.hear(2, from("k1", whole), &out).size() == 1u);
    // Not with each word that can't be unpacked: the whole text is long.
    out.clear();
    follower.ask_whole(3, "k1", &out);
    follower.ask_whole(4, "unheard-of", &out);
    BOOST_TEST(out.empty());
    follower.ask_whole(1 + kSecond, "k1", &out);
    BOOST_TEST(out.size() == 1u);
    // One that holds it since is not told it again.
    follower.tick(2 * kSecond, 1, "h", &out);
    BOOST_TEST(follower.hear(2 * kSecond, from("k1", whole), &out).empty());
}

BOOST_AUTO_TEST_CASE(numbers_never_go_back) {
    Node node(5);
    node.decide(7);
    node.decide(6);
    node.decide(7);
    BOOST_TEST(node.feed.place() == 1u);
    BOOST_TEST(node.answer({}).commit == 7u);
    BOOST_TEST_REQUIRE(node.answer({}).changes.size() == 1u);
    BOOST_TEST(node.answer({}).changes[0].number == 7u);
}

// One that is too far behind gets the newest of each thing.
BOOST_AUTO_TEST_CASE(a_follower_too_far_behind_gets_a_digest) {
    Node node(5);
    for (std::uint64_t i = 1; i <= 200; ++i) {
        if (i % 2 == 0) node.mark("s" + std::to_string(i % 8), i > 100 ? "drain" : "serve");
        if (i % 2 == 1) node.decide(i);
    }
    const auto behind = node.answer({5, 71, 0, "", 0});
    BOOST_TEST(behind.digest == 1);
    BOOST_TEST(behind.place == 200u);
    BOOST_TEST(behind.changes.size() == 5u);
    const auto near = node.answer({5, 72, 0, "", 0});
    BOOST_TEST(near.digest == 0);
    BOOST_TEST(near.changes.size() == 128u);
    std::size_t texts = 0;
    for (const auto& change : near.changes) texts += change.kind == kBundle && !change.text.empty() ? 1 : 0;
    BOOST_TEST(texts == 1u);  // of the newest bundle alone
    const auto other = node.answer({4, 200, 0, "", 0});
    BOOST_TEST(other.digest == 1);
}

// A control node that knows a number but has not its content yet tells the number alone.
BOOST_AUTO_TEST_CASE(a_text_that_is_not_held_is_not_told) {
    Node node(5);
    node.feed.bundle(3, "not held");
    BOOST_TEST_REQUIRE(node.answer({}).changes.size() == 1u);
    BOOST_TEST(node.answer({}).changes[0].text == "");
    BOOST_TEST(node.answer({}).changes[0].hash == "not held");
    BOOST_TEST(node.news().commit == 3u);
}

// What a feed holds does not grow with the bundles that it told: once it held the newest 128 whole.
BOOST_AUTO_TEST_CASE(a_thousand_bundles_leave_no_more_than_the_newest_few) {
    constexpr std::size_t kSize = 200 * 1000;
    constexpr std::int64_t kTexts = 4;  // of a ContentStore
    long_text(0, kSize);                // its noise is drawn before we begin to count
    const std::int64_t before = bytes_held;
    Node node(5);
    std::string held;
    std::int64_t most = 0;
    for (std::uint64_t number = 1; number <= 1000; ++number) {
        held = node.decide(number, kSize);
        BOOST_TEST_REQUIRE(node.news().changes[0].text.size() < kSize);
        if (number % 100 == 0)
            BOOST_TEST(node.answer({5, node.feed.place() - 1, number - 1, "", 0}).changes.size() == 1u);
        most = std::max<std::int64_t>(most, bytes_held - before);
    }
    BOOST_TEST(most < kTexts * static_cast<std::int64_t>(kSize) + 1024 * 1024);
}
