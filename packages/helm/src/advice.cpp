// What is wrong with one node, by its own status.
#include "helm/helm.hpp"
#include "json_fields.hpp"

namespace helm {

namespace json = boost::json;

namespace {

// Its name has a vote under the identity of a disk that it has no more.
bool has_emptied_disk(const json::object& status) {
    for (const auto& voter : objects_in(object_field(status, "electorate"), "voters"))
        if (string_field(voter, "name") == string_field(status, "name"))
            return string_field(voter, "disk") != string_field(status, "disk_id");
    return false;
}

void advise_keeper(const json::object& status, std::vector<std::string>* advice) {
    if (string_field(status, "disk") == "failed")
        advice->emplace_back(
            "its disk failed: make room, and it goes on by itself; or replace the disk and start it again on "
            "an "
            "empty folder");
    else if (has_emptied_disk(status))
        advice->emplace_back(
            "has no vote: its disk was emptied; a majority of the voters takes the new one in");
    else if (bool_field(status, "spare"))
        advice->emplace_back(
            "keeps a copy and has no vote: it stands ready to take the place of a voter that is away or "
            "leaves");
    else if (status.contains("voting") && !bool_field(status, "voting"))
        advice->emplace_back("has no vote: it knows no voters yet; start the other keepers, it hears them");
}

void advise_proxy(const json::object& status, std::vector<std::string>* advice) {
    const std::string standing = text_field(status, "standing");
    const bool ready = bool_field(status, "ready");
    if (bool_field(status, "draining"))
        advice->emplace_back("drains: `helm undrain` it, or let it stop");
    else if (!ready && number_field(status, "bundle") == 0)
        advice->emplace_back("has no bundle: push one, and see that a majority of the keepers is up");
    else if (!ready && standing == "floor")
        advice->emplace_back("sees a third of the fleet or less and takes no callers: mend its net");
    else if (!ready)
        advice->emplace_back(
            "is not ready: it needs a listing from the platform and the word of a keeper that a majority "
            "answers; see its log");
    if (ready && standing == "part")
        advice->emplace_back(
            "sees less than two thirds of the fleet and serves its part of each allowance: mend the net, or "
            "start "
            "what is down");
    if (ready && (standing == "share" || standing == "floor"))
        advice->emplace_back(
            "keeps to its share for the moment: it has just started, woken or lost sight of the fleet");
}

}  // namespace

std::vector<std::string> advice(const json::object& status, double behind) {
    std::vector<std::string> advice;
    const bool keeper = string_field(status, "role") == "keeper";
    if (keeper)
        advise_keeper(status, &advice);
    else
        advise_proxy(status, &advice);
    const bool disk_failed = keeper && string_field(status, "disk") == "failed";
    if (behind > 0 && !disk_failed)
        advice.emplace_back("acts on an older bundle: it is cut off from keepers, or a push is under way");
    return advice;
}

}  // namespace helm
