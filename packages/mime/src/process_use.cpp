#include "mime/process_use.hpp"

#include <dirent.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <sstream>
#include <string>

namespace mime {

namespace {

constexpr std::size_t kKiB = 1024;
constexpr auto kLookEvery = std::chrono::milliseconds(20);

std::string folder_of(pid_t process) { return "/proc/" + std::to_string(process); }

void read_status(pid_t process, ProcessUse* use) {
    std::ifstream status(folder_of(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        std::istringstream words(line);
        std::string name;
        std::size_t kibibytes = 0;
        words >> name >> kibibytes;
        if (name == "VmRSS:") use->resident = kibibytes * kKiB;
        if (name == "VmHWM:") use->resident_peak = kibibytes * kKiB;
    }
}

// Numbers of its open sockets; counts all open descriptors.
std::set<std::string> read_sockets(pid_t process, ProcessUse* use) {
    std::set<std::string> sockets;
    const std::string folder = folder_of(process) + "/fd";
    DIR* open = ::opendir(folder.c_str());
    if (open == nullptr) return sockets;
    while (const dirent* entry = ::readdir(open)) {
        if (entry->d_name[0] == '.') continue;
        ++use->descriptors;
        std::array<char, 64> target{};
        const ssize_t size =
            ::readlink((folder + "/" + entry->d_name).c_str(), target.data(), target.size() - 1);
        const std::string link(target.data(), size < 0 ? 0 : static_cast<std::size_t>(size));
        constexpr const char* kPrefix = "socket:[";
        if (link.rfind(kPrefix, 0) == 0) sockets.insert(link.substr(8, link.size() - 9));
    }
    ::closedir(open);
    return sockets;
}

// A line of /proc/net/tcp: "N: LOCAL:PORT REMOTE:PORT STATE TX:RX TIMER RETRANSMITS UID TIMEOUT INODE ...".
void add_connection(const std::string& line, const std::set<std::string>& sockets,
                    const std::set<unsigned>& listens, ProcessUse* use) {
    constexpr const char* kListening = "0A";
    std::istringstream words(line);
    std::string number, local, remote, state, queues, timer, retransmits, user, timeout, inode;
    words >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
    const auto port_at = local.find(':');
    const auto queue_at = queues.find(':');
    if (port_at == std::string::npos || queue_at == std::string::npos || state == kListening) return;
    const auto port = static_cast<unsigned>(std::stoul(local.substr(port_at + 1), nullptr, 16));
    const bool unaccepted = inode == "0" && listens.count(port) != 0;
    if (!unaccepted && sockets.count(inode) == 0) return;
    use->unsent += std::stoul(queues.substr(0, queue_at), nullptr, 16);
    use->unread += std::stoul(queues.substr(queue_at + 1), nullptr, 16);
}

}  // namespace

ProcessUse process_memory(pid_t process) {
    ProcessUse use;
    read_status(process, &use);
    return use;
}

ProcessUse process_use(pid_t process, const std::set<unsigned>& listens) {
    ProcessUse use;
    read_status(process, &use);
    const auto sockets = read_sockets(process, &use);
    std::ifstream connections("/proc/net/tcp");
    std::string line;
    std::getline(connections, line);  // the names of the columns
    while (std::getline(connections, line)) add_connection(line, sockets, listens, &use);
    return use;
}

ProcessWatch::ProcessWatch(pid_t process, std::set<unsigned> listens)
    : process_(process), listens_(std::move(listens)), thread_([this] {
          while (!over_) {
              look();
              std::this_thread::sleep_for(kLookEvery);
          }
          look();
      }) {}

ProcessWatch::~ProcessWatch() {
    over_ = true;
    thread_.join();
}

void ProcessWatch::look() {
    const auto use = process_use(process_, listens_);
    most_held_ = std::max({most_held_.load(), use.held(), use.resident_peak});
    most_descriptors_ = std::max(most_descriptors_.load(), use.descriptors);
}

}  // namespace mime
