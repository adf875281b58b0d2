#pragma once
// The LMDB file `memory.mdb`: incarnation and duties' epochs. They are hints: any failure here leaves the
// node working, and a file that LMDB can't read is begun anew.
#include <lmdb.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace consensus {

class HintStore {
  public:
    using Epochs = std::map<std::string, std::pair<std::uint64_t, std::string>>;

    explicit HintStore(std::string path) : path_(std::move(path)) {}
    ~HintStore() { close(); }
    HintStore(const HintStore&) = delete;
    HintStore& operator=(const HintStore&) = delete;

    // Reads all hints; false, and empty ones, where the file can't be used now.
    bool open();
    // Stores one more than the incarnation held before; 0 where that fails.
    std::uint64_t next_incarnation();
    bool save_epoch(const std::string& duty, std::uint64_t epoch, const std::string& holder);
    const Epochs& epochs() const { return epochs_; }

  private:
    int open_environment();
    int cover_mapping();
    int load();
    void take(const std::string& key, const std::string& value);
    bool put(const std::string& key, const std::string& value);
    int put_now(const std::string& key, const std::string& value);
    void close();

    std::string path_;
    MDB_env* environment_ = nullptr;
    MDB_dbi table_ = 0;
    std::uint64_t incarnation_ = 0;
    Epochs epochs_;
};

}  // namespace consensus
