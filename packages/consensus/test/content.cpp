#define BOOST_TEST_MODULE consensus_content
#include "consensus/content.hpp"

#include <zstd.h>

#include <boost/test/unit_test.hpp>

#include "consensus/durable.hpp"
#include "pith/hash.hpp"

using namespace consensus;
using pith::Rng;

namespace {

constexpr std::size_t kDigestSize = 16;  // bytes before the frame

std::string route(Rng* random, std::size_t number, const std::string& prefix) {
    return "{\"name\":\"route-" + std::to_string(number) + "\",\"host\":\"h" +
           std::to_string(random->below(1000)) + ".example\",\"prefix\":\"" + prefix + "/" +
           std::to_string(random->next()) + "/\",\"service\":\"service-" +
           std::to_string(random->below(200)) + "\"}";
}

// A configuration of about `size` bytes; the route in its middle begins with `middle`.
std::string config(std::uint64_t seed, std::size_t size, const std::string& middle) {
    Rng random(seed);
    std::string text = "{\"number\":1,\"routes\":[";
    bool passed = false;
    for (std::size_t i = 0; text.size() < size; ++i) {
        const bool here = !passed && text.size() > size / 2;
        passed = passed || here;
        text += (i == 0 ? "" : ",") + route(&random, i, here ? middle : "/api");
    }
    return text + "]}";
}

std::string random_bytes(std::uint64_t seed, std::size_t size) {
    Rng random(seed);
    std::string bytes;
    while (bytes.size() < size) bytes.push_back(static_cast<char>(random.next()));
    return bytes;
}

std::string digest16(const std::string& text) {
    std::string digest;
    pith::from_hex(pith::digest_hex(text).substr(0, 2 * kDigestSize), &digest);
    return digest;
}

std::string plain_frame(const std::string& text) {
    std::string frame(ZSTD_compressBound(text.size()), '\0');
    frame.resize(ZSTD_compress(frame.data(), frame.size(), text.data(), text.size(), 19));
    return frame;
}

// One to three bytes changed, or the end cut off, or bytes added.
std::string harmed(std::string bytes, Rng* random) {
    const std::uint64_t how = random->below(4);
    if (how == 0) return bytes.substr(0, random->below(bytes.size()));
    if (how == 1) return bytes + random_bytes(random->next(), 1 + random->below(20));
    for (std::uint64_t i = 0; i <= random->below(3); ++i)
        bytes[random->below(bytes.size())] ^= static_cast<char>(1 + random->below(255));
    return bytes;
}

weft::Voter voter(Rng* random) {
    return {"node-" + std::to_string(random->below(9)), std::to_string(random->next()), "10.0.0.1:1"};
}

weft::ControlState control_state(Rng* random) {
    weft::ControlState state;
    state.revision = random->next();
    state.number = random->next();
    state.hash = pith::digest_hex(std::to_string(random->next()));
    for (std::uint64_t i = random->below(5); i > 0; --i)
        state.recent.push_back({random->next(), random->next()});
    state.epoch = random->next();
    state.target = static_cast<std::uint32_t>(random->below(8));
    for (std::uint64_t i = random->below(6); i > 0; --i) state.voters.push_back(voter(random));
    for (std::uint64_t i = random->below(6); i > 0; --i) state.joining.push_back(voter(random));
    return state;
}

DurableState durable_state(std::uint64_t seed) {
    Rng random(seed);
    DurableState state;
    state.disk = pith::to_hex(random_bytes(seed, 16));
    state.promised = {random.next(), "node-1", random.next()};
    state.accepted = {random.next(), "node-2", random.next()};
    state.state = control_state(&random);
    state.text = random_bytes(random.next(), random.below(300));
    state.decided = control_state(&random);
    state.founding.founder = "node-3";
    state.founding.id = random.next();
    state.founding.adopted = random.below(2) == 1;
    for (std::uint64_t i = random.below(4); i > 0; --i) state.founding.voters.push_back(voter(&random));
    state.founded = random.below(2) == 1;
    for (std::uint64_t i = random.below(6); i > 0; --i) state.withdrawn.insert(random.next());
    return state;
}

}  // namespace

BOOST_AUTO_TEST_CASE(texts_come_back_whole) {
    const std::vector<std::string> texts = {"x", std::string(1000, 'a'), config(1, 5000, "/api"),
                                            config(2, 200000, "/api"), random_bytes(3, 100000)};
    for (const auto& text : texts)
        for (const auto& base : {std::string(), std::string("y"), config(1, 3000, "/x"), text}) {
            const auto back = unpack_content(pack_content(text, base), base);
            BOOST_REQUIRE(back.has_value());
            BOOST_TEST((*back == text));
        }
}

BOOST_AUTO_TEST_CASE(the_largest_text_fits_and_a_larger_one_does_not) {
    const std::string base = config(4, kMaxContent - 4096, "/api");
    const std::string text = config(4, kMaxContent - 4096, "/changed");
    const std::string packed = pack_content(text, base);
    BOOST_TEST_MESSAGE("8 MiB, one route changed: " << packed.size() << " bytes");
    BOOST_TEST(packed.size() < 4096u);
    const auto back = unpack_content(packed, base);
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((*back == text));
    BOOST_TEST(pack_content(std::string(kMaxContent + 1, 'a'), "").empty());
    BOOST_TEST(pack_content("a", std::string(kMaxContent + 1, 'a')).empty());
    const std::string most(kMaxContent, 'a');
    BOOST_TEST((*unpack_content(pack_content(most, ""), "") == most));
}

BOOST_AUTO_TEST_CASE(an_empty_text_is_not_packed) {
    BOOST_TEST(pack_content("", "").empty());
    BOOST_TEST(!unpack_content("", "").has_value());
    BOOST_TEST(!unpack_content(digest16("") + plain_frame(""), "").has_value());
    ContentStore store;
    store.put("hash", "");
    BOOST_TEST(store.find("hash") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_change_of_one_route_is_small) {
    const std::string base = config(5, 200000, "/api"), text = config(5, 200000, "/changed");
    const std::string alone = pack_content(text, ""), difference = pack_content(text, base);
    BOOST_TEST_MESSAGE("200 KB: alone " << alone.size() << ", difference " << difference.size() << " bytes");
    BOOST_TEST(difference.size() < 1024u);
    // Each route anywhere: what is near the start of the base is found as well.
    std::string first = base, last = base;
    first.replace(first.find("/api"), 4, "/first");
    last.replace(last.rfind("/api"), 4, "/last");
    BOOST_TEST(pack_content(first, base).size() < 1024u);
    BOOST_TEST(pack_content(last, base).size() < 1024u);
}

BOOST_AUTO_TEST_CASE(another_base_is_noticed) {
    const std::string base = config(6, 20000, "/api"), text = config(6, 20000, "/changed");
    const std::string packed = pack_content(text, base);
    for (const auto& other : {std::string(), text, config(7, 20000, "/api"), base.substr(1), base + "x"}) {
        const auto back = unpack_content(packed, other);
        // A base that happens to give the same text does no harm.
        if (back) BOOST_TEST((*back == text));
    }
    BOOST_TEST(!unpack_content(packed, "").has_value());
    BOOST_TEST(!unpack_content(packed, config(7, 20000, "/api")).has_value());
}

BOOST_AUTO_TEST_CASE(harmed_bytes_never_give_another_text) {
    const std::string base = config(8, 4000, "/api"), text = config(8, 4000, "/changed");
    const std::string against_base = pack_content(text, base), alone = pack_content(text, "");
    Rng random(8);
    for (int i = 0; i < 20000; ++i) {
        const bool difference = random.below(2) == 0;
        const auto back =
            unpack_content(harmed(difference ? against_base : alone, &random), difference ? base : "");
        if (back) BOOST_REQUIRE((*back == text));
    }
    for (std::size_t size = 0; size < against_base.size(); ++size)
        BOOST_REQUIRE(!unpack_content(against_base.substr(0, size), base).has_value());
}

BOOST_AUTO_TEST_CASE(what_would_grow_too_far_is_refused) {
    const std::string bomb(64 * 1024 * 1024, '\0');
    const auto large = unpack_content(digest16(bomb) + plain_frame(bomb), "");
    BOOST_REQUIRE(!large.has_value());
    BOOST_TEST((large.error().kind == pith::Kind::bundle_broken));
    // Two frames, each of them allowed.
    const std::string half(1024, 'a');
    BOOST_TEST(
        !unpack_content(digest16(half + half) + plain_frame(half) + plain_frame(half), "").has_value());
    // A frame that does not tell its size.
    std::string unsaid(4096, '\0');
    ZSTD_CCtx* context = ZSTD_createCCtx();
    ZSTD_CCtx_setParameter(context, ZSTD_c_contentSizeFlag, 0);
    unsaid.resize(ZSTD_compress2(context, unsaid.data(), unsaid.size(), half.data(), half.size()));
    ZSTD_freeCCtx(context);
    BOOST_TEST(!unpack_content(digest16(half) + unsaid, "").has_value());
}

BOOST_AUTO_TEST_CASE(the_store_keeps_the_newest) {
    ContentStore store(2);
    store.put("1", "one");
    store.put("2", "two");
    store.put("1", "one");  // the newest again
    store.put("3", "three");
    BOOST_TEST(store.find("2") == nullptr);
    BOOST_REQUIRE(store.find("1") != nullptr);
    BOOST_TEST(*store.find("1") == "one");
    store.put("1", "one, signed by another");
    BOOST_TEST(*store.find("1") == "one, signed by another");
    BOOST_REQUIRE(store.find("3") != nullptr);
}

BOOST_AUTO_TEST_CASE(a_store_takes_what_another_packed) {
    const std::string base = config(9, 20000, "/api"), text = config(9, 20000, "/changed");
    ContentStore teller, learner, stranger;
    teller.put("base", base);
    teller.put("text", text);
    learner.put("base", base);
    std::string used;
    const std::string difference = teller.packed("text", "base", &used);
    BOOST_TEST(used == "base");
    BOOST_TEST(difference.size() < 1024u);
    BOOST_TEST(!stranger.take("text", used, difference));
    BOOST_TEST(learner.take("text", used, difference));
    BOOST_TEST((*learner.find("text") == text));
    const std::string whole = teller.packed("text", "unknown", &used);
    BOOST_TEST(used.empty());
    BOOST_TEST(!stranger.take("text", "", difference));
    BOOST_TEST(stranger.find("text") == nullptr);
    BOOST_TEST(stranger.take("text", used, whole));
    BOOST_TEST((*stranger.find("text") == text));
    BOOST_TEST(teller.packed("unknown", "base", &used).empty());
    BOOST_TEST(used.empty());
}

BOOST_AUTO_TEST_CASE(a_wrong_base_of_the_same_hash_is_noticed) {
    const std::string base = config(10, 20000, "/api"), text = config(10, 20000, "/changed");
    ContentStore teller, learner;
    teller.put("base", base);
    teller.put("text", text);
    learner.put("base", config(11, 20000, "/api"));
    std::string used;
    BOOST_TEST(!learner.take("text", "base", teller.packed("text", "base", &used)));
    BOOST_TEST(learner.find("text") == nullptr);
}

BOOST_AUTO_TEST_CASE(packed_results_are_kept_and_follow_a_replaced_text) {
    ContentStore store;
    store.put("base", config(12, 20000, "/api"));
    store.put("text", config(12, 20000, "/changed"));
    std::string used;
    const std::string* first = &store.packed("text", "base", &used);
    BOOST_TEST(first == &store.packed("text", "base", &used));
    store.packed("text", "", &used);
    BOOST_TEST(used.empty());
    const std::string replaced = config(12, 20000, "/replaced");
    store.put("text", replaced);
    const auto back = unpack_content(store.packed("text", "base", &used), *store.find("base"));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((*back == replaced));
}

BOOST_AUTO_TEST_CASE(durable_documents_come_back_whole) {
    for (std::uint64_t seed = 0; seed < 500; ++seed) {
        const std::string bytes = encode(durable_state(seed));
        const auto back = decode(bytes);
        BOOST_REQUIRE(back.has_value());
        BOOST_REQUIRE((encode(*back) == bytes));
    }
    DurableState state = durable_state(1);
    for (std::uint64_t id = 0; id < 10000; ++id) state.withdrawn.insert(id);
    const auto back = decode(encode(state));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((back->withdrawn == state.withdrawn));
    BOOST_TEST(back->disk == state.disk);
    BOOST_TEST((back->text == state.text));
    BOOST_TEST(back->founded == state.founded);
    BOOST_TEST(back->founding.id == state.founding.id);
    BOOST_TEST(back->promised.round == state.promised.round);
    BOOST_TEST(back->accepted.life == state.accepted.life);
    BOOST_TEST(back->decided.hash == state.decided.hash);
}

BOOST_AUTO_TEST_CASE(a_cut_or_longer_document_is_refused) {
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        const std::string bytes = encode(durable_state(seed));
        for (std::size_t size = 0; size < bytes.size(); ++size)
            BOOST_REQUIRE(!decode(std::string_view(bytes).substr(0, size)).has_value());
        BOOST_REQUIRE(!decode(bytes + '\0').has_value());
    }
    BOOST_TEST(!decode("").has_value());
}

// Harm inside is found by the checksum of the slot file (test/storage.cpp); here nothing may go wrong
// otherwise.
BOOST_AUTO_TEST_CASE(decoding_any_bytes_ends_well) {
    Rng random(13);
    for (int i = 0; i < 50000; ++i) {
        const auto back = decode(harmed(encode(durable_state(random.below(50))), &random));
        if (!back) BOOST_REQUIRE(!back.error().message.empty());
    }
    for (std::uint64_t seed = 0; seed < 5000; ++seed) {
        std::string bytes = encode(durable_state(1)).substr(0, 8);
        BOOST_REQUIRE(!decode(bytes + random_bytes(seed, 1 + seed % 200)).has_value());
    }
}
