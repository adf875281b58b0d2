#include "mime/soak_crowd.hpp"

#include "pith/hash.hpp"

namespace mime {

namespace {

constexpr std::uint64_t kWithoutEnd = 1000000000;
constexpr std::size_t kBody = 512 * 1024;   // bytes, inside the limits
constexpr std::size_t kSmallFields = 3000;  // of a head, inside the limits
constexpr std::size_t kSlice = 16 * 1024;
constexpr std::size_t kComesAgain = 1000;
constexpr int kQuietMs = 100;

std::string head(const SoakCrowdPlan& plan, const std::string& method, const std::string& path,
                 const std::string& fields) {
    return method + " " + path + " HTTP/1.1\r\nHost: crowd\r\nMarble-Key: " + plan.key +
           "\r\nMarble-Try: crowd-" + std::to_string(plan.seed) + "-" + kMemberMark +
           "\r\nMarble-Deadline-Ms: 2000\r\n" + fields + "\r\n";
}

std::vector<CrowdScript> scripts(const SoakCrowdPlan& plan) {
    const std::string post = "/" + plan.service, get = "/" + plan.service + "/1";
    const std::string chunked = head(plan, "POST", post, "Transfer-Encoding: chunked\r\n");
    const std::string sized = head(plan, "POST", post, "Content-Length: " + std::to_string(kBody) + "\r\n");
    const std::string field = "X-Trailer: " + std::string(1000, 't') + "\r\n";
    const std::string kibibyte(1024, 'b');
    return {
        {{chunked + "5\r\nhello\r\n0\r\n", 1}, {field, kWithoutEnd}},
        {{chunked + "5;", 1}, {kibibyte, kWithoutEnd}},
        {{sized, 1}, {kibibyte, kBody / kibibyte.size() - 1}},
        {{chunked, 1}, {"400\r\n" + kibibyte + "\r\n", kBody / kibibyte.size()}},
        {{chunked, 1}, {"1\r\nx\r\n", kBody / 8}},
        {{"POST " + post + " HTTP/1.1\r\nHost: crowd\r\n", 1}, {"a:\r\n", kSmallFields}},
        {{head(plan, "GET", get, ""), kWithoutEnd}},
        {{"G", 1}},
    };
}

std::vector<CrowdGroup> groups(const SoakCrowdPlan& plan) {
    pith::Rng random(plan.seed);
    const auto all = scripts(plan);
    std::vector<CrowdGroup> crowd;
    for (const auto& address : plan.addresses)
        for (std::size_t i = 0; i < plan.members; ++i)
            crowd.push_back({address, all[random.below(all.size())], 1, kSlice, false, kComesAgain});
    return crowd;
}

}  // namespace

SoakCrowd::SoakCrowd(const SoakCrowdPlan& plan)
    : thread_([this, plan] {
          Crowd crowd(groups(plan));
          while (!over_) crowd.send_until_quiet(kQuietMs, [this] { return over_.load(); });
      }) {}

SoakCrowd::~SoakCrowd() {
    over_ = true;
    thread_.join();
}

}  // namespace mime
