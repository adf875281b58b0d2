#pragma once
// A whole fleet on one machine, as real processes: for the tour, and for tests that wait on events, never on
// time (docs/design.md 9.2). Only this tool starts processes; the product starts none.
#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "pith/error.hpp"

namespace mime {

struct FleetPlan {
    std::string program, mime, folder, ip = "127.0.0.1";
    int keepers = 3, proxies = 5;
    std::vector<std::string> localities{"a", "b", "c"};
    std::map<std::string, int> servers{{"bids", 2}, {"notices", 2}, {"status", 2}};
    int work_ms = 5;
    std::string log_level = "info";
    bool large = false;  // plain links, and a tolerance of the allowances, with which large fleets aggregate their counts
    bool echo = false;  // logs to our stderr too
    // Of each process, as its settings say; 0: not said.
    std::size_t memory_mb = 0, descriptors = 0;
};

class Fleet {
  public:
    explicit Fleet(FleetPlan p);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    pith::Result<bool> prepare();  // folder, secret, keys, settings
    void start_all();
    void start(const std::string& name);
    // One more keeper, in its own settings only, as an operator adds one to a fleet that runs. Not started
    // yet.
    void add_keeper(const std::string& name, const std::string& locality);
    void fill_disk(const std::string& name);  // its files can't grow any more, as on a full disk
    void free_disk(const std::string& name);  // there is room again
    void move(const std::string& name);       // other addresses from its next start on
    void kill(const std::string& name, int signal);
    pid_t pid(const std::string& name);  // -1: it was waited for, or never started
    int wait_end(const std::string& name);  // exit code, or 128 + signal
    // Blocks until the process logs a line that holds all the words; false where it ends or `limit_s` passed.
    bool wait_line(const std::string& name, const std::vector<std::string>& words, int limit_s = 60);
    // The same for several lines, in any order.
    bool wait_lines(const std::string& name, std::vector<std::vector<std::string>> lines, int limit_s = 60);
    void forget_lines(const std::string& name);

    std::string weft(const std::string& name) const { return at_.at(name).weft; }
    std::string visits(const std::string& name) const { return at_.at(name).visits; }
    std::string desk(const std::string& name) const { return at_.at(name).desk; }
    std::string server_address(const std::string& name) const { return at_.at(name).visits; }
    std::vector<std::string> names(const std::string& role) const;
    const std::string& signing_key() const { return secret_key_; }
    std::string folder() const { return p_.folder; }
    std::string settings_file(const std::string& name) const { return p_.folder + "/" + name + ".json"; }
    std::string data_folder(const std::string& name) const { return p_.folder + "/" + name + ".data"; }
    void list_servers(const std::vector<std::string>& names);          // tells the platform
    void list_rows(const std::string& servers);  // the same, as the JSON array of its listing
    void stop_all(int signal);                   // to every process that runs
    std::string run(const std::vector<std::string>& argv, int* code);  // the program, to its end
    std::string sample_bundle(int number, double scale = 1.0) const;
    std::string sign(const std::string& bundle) const;

  private:
    struct At {
        std::string role, locality, weft, visits, desk, service, instance;
    };
    struct Child {
        pid_t pid = -1;
        int fd = -1;
        int code = -1;
        std::string part;
        std::deque<std::string> lines;
    };
    void limit_file_size(const std::string& name, std::uint64_t bytes);
    pid_t spawn(const std::vector<std::string>& argv, int* err_fd);
    std::string free_address();
    std::set<std::string> used_;
    void read_loop();
    std::string settings(const std::string& name) const;

    FleetPlan p_;
    std::map<std::string, At> at_;
    std::string platform_, public_key_, secret_key_;
    std::mutex m_;
    std::condition_variable c_;
    std::map<std::string, Child> child_;
    std::thread reader_;
    int wake_[2] = {-1, -1};
    bool end_ = false;
};

}  // namespace mime
