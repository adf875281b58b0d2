#pragma once
// The keeper's folder: bundles as plain files, promises in a journal, the rest in LMDB (docs/design.md 5.5).
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pith/error.hpp"
#include "vault/vault.hpp"

namespace vault {

class Disk {
  public:
    explicit Disk(std::string folder);
    ~Disk();
    Disk(const Disk&) = delete;
    Disk& operator=(const Disk&) = delete;
    pith::Result<Held> open();
    pith::Result<bool> carry_out(const Job& j);
    std::uint64_t next_incarnation();  // one more than any before, synced
    const std::string& set_aside() const { return aside_; }

  private:
    pith::Result<bool> write_file(const std::string& name, const std::string& text);  // under a checksum
    pith::Result<bool> replace_file(const std::string& name, const std::string& all);
    using Pairs = std::vector<std::pair<std::string, std::string>>;
    pith::Result<bool> put(const Pairs& pairs, const std::string& gone = {});
    pith::Result<bool> read_promises(Held* h);
    pith::Result<bool> write_promises();
    pith::Result<bool> append_promise(const Job& j);
    struct Impl;
    std::unique_ptr<Impl> impl_;
    std::string folder_, aside_;
};

}  // namespace vault
