#pragma once
// A control node's folder (docs/control.md, "Disk"): the durable document in two files written by turns, each
// with a sequence number and a checksum; incarnation and duties' epochs in LMDB, which are hints and may be
// lost.
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "consensus/durable.hpp"
#include "consensus/file_system.hpp"
#include "pith/error.hpp"

namespace consensus {

// Not thread-safe: one thread at a time. `open` and `save` wait for the disk.
class Storage {
  public:
    explicit Storage(std::string folder, FileSystem& files = posix_files());
    ~Storage();
    Storage(const Storage&) = delete;
    Storage& operator=(const Storage&) = delete;

    // Reads the newest sound document; a new folder gets an identity. A file that does not check is set
    // aside: it is named by set_aside() and removed. What is read may be in memory only, after a sync that
    // failed as the last process ran: so it is written anew and synced before it is given. Fails
    // (Kind::disk_failed) where the folder can't be used; may be called again later.
    pith::Result<DurableState> open();
    // Writes the whole document and syncs it. After a failure nothing of the file that failed is trusted: the
    // next call writes fresh files, syncs them and their folder, and reads them back before it succeeds. A
    // document that could not be read again (a text over kMaxContent, a list over weft::kMaxItems) is
    // refused.
    pith::Result<bool> save(const DurableState& state);
    // One more than any before in this folder; 0 where the disk does not take it.
    std::uint64_t next_incarnation();
    // Duties' epochs, by duty: epoch and holder (docs/design.md 4.4). A failure to write one is harmless.
    const std::map<std::string, std::pair<std::uint64_t, std::string>>& epochs() const;
    bool save_epoch(const std::string& duty, std::uint64_t epoch, const std::string& holder);
    const std::string& set_aside() const;  // last file that did not check, or empty

  private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace consensus
