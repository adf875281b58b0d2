#define BOOST_TEST_MODULE mime_control
// The control side with real processes: disks that are lost, voters that come and go, no majority
// (docs/control.md). Waited for by what the processes log; the one figure that is held to the clock is
// kTakenInWithin.
#include <boost/test/unit_test.hpp>
#include <filesystem>

#include "creed/bundle.hpp"
#include "field.hpp"

namespace {

using Words = std::vector<std::string>;

constexpr int kTakenInWithin = 4;  // s, from the start of a keeper on an emptied folder to its vote
constexpr pith::Micros kPatience = 20 * pith::kSecond;

const Words kVotes = {"event=membership", "joining=\"\"", "voting=yes"};  // in a membership that is settled

boost::json::object status_of(const std::string& desk) {
    const weft::Ask ask{weft::http::verb::get, "/v1/status", 11};
    const auto answer = weft::call_blocking(desk, ask, kPatience);
    BOOST_REQUIRE_MESSAGE(answer.has_value(), pith::why(answer));
    return boost::json::parse(answer->body()).as_object();
}

weft::Answer bundle_call(const std::string& desk, weft::http::verb method, const std::string& body) {
    weft::Ask ask{method, "/v1/bundle", 11};
    ask.body() = body;
    auto answer = weft::call_blocking(desk, ask, kPatience);
    BOOST_REQUIRE_MESSAGE(answer.has_value(), pith::why(answer));
    return std::move(*answer);
}

weft::Answer push_to(const std::string& desk, const std::string& signed_text) {
    return bundle_call(desk, weft::http::verb::post, signed_text);
}

weft::Answer read_from(const std::string& desk) { return bundle_call(desk, weft::http::verb::get, ""); }

// The caller is told to come back, and nothing else: neither that it stands nor that its request is at fault.
void come_back_later(const weft::Answer& answer) {
    BOOST_TEST(answer.result_int() == 503, answer.body());
    BOOST_TEST(!answer["Retry-After"].empty(), answer.body());
}

void push_well(Field& field, int number) {
    int code = 0;
    const std::string said = field.push(field.f->sign(field.f->sample_bundle(number)), &code);
    BOOST_REQUIRE_MESSAGE(code == 0, said);
}

void end(mime::Fleet& fleet, const std::string& name) {
    fleet.kill(name, SIGKILL);
    fleet.wait_end(name);
}

// What each keeper tells, of the content that was acknowledged.
void reads_back(Field& field, const std::string& signed_text) {
    const auto pushed = creed::read_told(signed_text);
    BOOST_REQUIRE(pushed.has_value());
    for (const auto& name : field.f->names("keeper")) {
        const auto answer = read_from(field.f->desk(name));
        BOOST_REQUIRE_MESSAGE(answer.result_int() == 200, name << ": " << answer.body());
        const auto told = creed::read_told(answer.body());
        BOOST_REQUIRE_MESSAGE(told.has_value(), name << ": " << pith::why(told));
        BOOST_TEST(told->number == pushed->number, name);
        BOOST_TEST(told->hash == pushed->hash, name);
    }
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_emptied_keeper_is_taken_in_with_its_new_disk) {
    Field field(1);
    auto& fleet = *field.f;
    push_well(field, 1);
    const auto disk_before = status_of(fleet.desk("k1")).at("disk_id").as_string();
    end(fleet, "k1");
    BOOST_REQUIRE(std::filesystem::remove_all(fleet.data_folder("k1")) > 0);
    fleet.forget_lines("k1");
    fleet.start("k1");
    BOOST_TEST(fleet.wait_line("k1", {"event=started"}));
    BOOST_TEST(fleet.wait_line("k1", kVotes, kTakenInWithin));
    const auto status = status_of(fleet.desk("k1"));
    const auto disk_now = status.at("disk_id").as_string();
    BOOST_TEST(disk_now != disk_before);
    std::size_t voters = 0;
    for (const auto& voter : status.at("electorate").at("voters").as_array()) {
        ++voters;
        if (voter.at("name") == "k1") BOOST_TEST(voter.at("disk").as_string() == disk_now);
    }
    BOOST_TEST(voters == 3u);
    // A majority needs the new disk now.
    end(fleet, "k2");
    const std::string second = fleet.sign(fleet.sample_bundle(2));
    int code = 0;
    const std::string said = field.push(second, &code);
    BOOST_TEST(code == 0, said);
    fleet.start("k2");
    BOOST_TEST(fleet.wait_line("k2", {"event=committed", "number=2"}));
    reads_back(field, second);
}

BOOST_AUTO_TEST_CASE(a_fourth_keeper_takes_over_from_one_that_stops_for_good) {
    Field field(1);
    auto& fleet = *field.f;
    push_well(field, 1);
    fleet.add_keeper("k4", "a");
    fleet.start("k4");
    BOOST_TEST(fleet.wait_line("k4", {"event=committed", "number=1"}));
    const auto spare = status_of(fleet.desk("k4"));
    BOOST_TEST(spare.at("spare").as_bool());
    BOOST_TEST(!spare.at("voting").as_bool());
    fleet.kill("k1", SIGTERM);
    BOOST_TEST(fleet.wait_end("k1") == 0);
    BOOST_TEST(fleet.wait_line("k4", kVotes));
    BOOST_TEST(fleet.wait_line("k2", {"event=membership", "voters=k2,k3,k4", "joining=\"\""}));
    BOOST_TEST(fleet.wait_line("k3", {"event=membership", "voters=k2,k3,k4", "joining=\"\""}));
    // Of the three voters before, one is left: the fourth one's vote counts.
    end(fleet, "k2");
    push_well(field, 2);
    BOOST_TEST(fleet.wait_line("k4", {"event=committed", "number=2"}));
}

BOOST_AUTO_TEST_CASE(a_folder_of_the_version_before_is_refused_with_the_remedy) {
    Field field(1, false);
    auto& fleet = *field.f;
    const std::string folder = fleet.data_folder("k1");
    BOOST_REQUIRE(std::filesystem::create_directory(folder));
    std::ofstream(folder + "/promises") << "old";
    std::ofstream(folder + "/commit-00000000000000000007.json") << "{}";
    int code = 0;
    const std::string said = fleet.run({"keeper", "--settings=" + fleet.settings_file("k1")}, &code);
    BOOST_TEST(code == 2, said);
    for (const char* words : {"event=not_started", "is of the version before", "start with an empty folder",
                              "push the last bundle again", "commit-00000000000000000007.json"})
        BOOST_TEST((said.find(words) != std::string::npos), words << " is not in: " << said);
    // It is left as it was.
    BOOST_TEST(std::filesystem::exists(folder + "/promises"));
    BOOST_TEST(std::filesystem::exists(folder + "/commit-00000000000000000007.json"));
}

BOOST_AUTO_TEST_CASE(what_was_acknowledged_outlives_the_death_of_all_keepers) {
    Field field(1);
    auto& fleet = *field.f;
    push_well(field, 1);
    const std::string second = fleet.sign(fleet.sample_bundle(2));
    int code = 0;
    const std::string said = field.push(second, &code);
    BOOST_REQUIRE_MESSAGE(code == 0, said);
    for (const auto& name : fleet.names("keeper")) fleet.kill(name, SIGKILL);
    for (const auto& name : fleet.names("keeper")) fleet.wait_end(name);
    for (const auto& name : fleet.names("keeper")) {
        fleet.forget_lines(name);
        fleet.start(name);
    }
    for (const auto& name : fleet.names("keeper"))
        BOOST_TEST(fleet.wait_line(name, {"event=committed", "number=2"}), name);
    reads_back(field, second);
    // The same again is acknowledged, other content under its number is not.
    push_well(field, 2);
    const std::string refused = field.push(fleet.sign(fleet.sample_bundle(2, 3)), &code);
    BOOST_TEST(code == 1, refused);
    push_well(field, 3);
}

BOOST_AUTO_TEST_CASE(without_a_majority_callers_are_told_to_come_back) {
    Field field(1);
    auto& fleet = *field.f;
    const std::string first = fleet.sign(fleet.sample_bundle(1));
    BOOST_TEST(push_to(fleet.desk("k1"), first).result_int() == 200);
    end(fleet, "k2");
    end(fleet, "k3");
    const std::string second = fleet.sign(fleet.sample_bundle(2));
    come_back_later(push_to(fleet.desk("k1"), second));
    come_back_later(push_to(fleet.desk("k1"), first));  // known here, yet no majority says so
    come_back_later(read_from(fleet.desk("k1")));
    int code = 0;
    const std::string status = field.helm({"status"}, &code);
    BOOST_TEST(code == 3, status);  // partial: two don't answer
    for (const char* words : {"no majority of the voters (1 of 3 count)", "mend 1 or more of k2, k3",
                              "k2: is down and has a vote", "k3: is down and has a vote"})
        BOOST_TEST((status.find(words) != std::string::npos), words << " is not in: " << status);
    fleet.forget_lines("k2");
    fleet.start("k2");
    BOOST_TEST(fleet.wait_line("k2", {"event=committed", "number=1"}));
    const auto answer = push_to(fleet.desk("k1"), second);
    BOOST_TEST(answer.result_int() == 200, answer.body());
    const auto told = creed::read_told(read_from(fleet.desk("k2")).body());
    BOOST_REQUIRE(told.has_value());
    BOOST_TEST(told->number == 2u);
}

BOOST_AUTO_TEST_CASE(a_keeper_that_never_met_the_others_says_so) {
    Field field(1, false);
    auto& fleet = *field.f;
    fleet.start("k1");
    BOOST_TEST(fleet.wait_line("k1", {"event=started"}));
    come_back_later(push_to(fleet.desk("k1"), fleet.sign(fleet.sample_bundle(1))));
    come_back_later(read_from(fleet.desk("k1")));
}
