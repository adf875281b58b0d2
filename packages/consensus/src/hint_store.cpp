#include "hint_store.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <charconv>
#include <cstdio>

namespace consensus {

namespace {

constexpr std::size_t kMapSize = 16 * 1024 * 1024;  // bytes
constexpr mode_t kFileMode = 0600;
const std::string kIncarnationKey = "incarnation";
const std::string kEpochPrefix = "epoch/";

// The number at the start of `text`; false where there is none. `rest` is what follows it.
bool read_number(const std::string& text, std::uint64_t* number, std::string* rest) {
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, *number);
    if (parsed.ec != std::errc()) return false;
    rest->assign(parsed.ptr, end);
    return true;
}

MDB_val view(const std::string& text) { return {text.size(), const_cast<char*>(text.data())}; }

std::string copy(const MDB_val& value) { return {static_cast<const char*>(value.mv_data), value.mv_size}; }

bool unreadable(int result) {
    return result == MDB_INVALID || result == MDB_CORRUPTED || result == MDB_VERSION_MISMATCH ||
           result == MDB_PAGE_NOTFOUND || result == MDB_PANIC;
}

}  // namespace

bool HintStore::open() {
    close();
    int result = open_environment();
    if (unreadable(result)) {
        close();
        std::remove(path_.c_str());
        result = open_environment();
    }
    if (result != MDB_SUCCESS) close();
    return result == MDB_SUCCESS;
}

// No lock file and no writable map: the library's own pages are private to this process.
int HintStore::open_environment() {
    incarnation_ = 0;
    epochs_.clear();
    int result = mdb_env_create(&environment_);
    if (result == MDB_SUCCESS) result = mdb_env_set_mapsize(environment_, kMapSize);
    if (result == MDB_SUCCESS)
        result = mdb_env_open(environment_, path_.c_str(), MDB_NOSUBDIR | MDB_NOLOCK, kFileMode);
    if (result == MDB_SUCCESS) result = cover_mapping();
    if (result == MDB_SUCCESS) result = load();
    return result;
}

// A file shorter than its own header says (power was lost) would end the process with SIGBUS when it is read.
int HintStore::cover_mapping() {
    MDB_envinfo info;
    MDB_stat numbers;
    int file = -1;
    struct stat status {};
    int result = mdb_env_info(environment_, &info);
    if (result == MDB_SUCCESS) result = mdb_env_stat(environment_, &numbers);
    if (result == MDB_SUCCESS) result = mdb_env_get_fd(environment_, &file);
    if (result != MDB_SUCCESS) return result;
    if (info.me_last_pgno >= kMapSize / numbers.ms_psize) return MDB_CORRUPTED;
    const auto least = static_cast<off_t>((info.me_last_pgno + 1) * numbers.ms_psize);
    if (::fstat(file, &status) != 0) return MDB_CORRUPTED;
    if (status.st_size < least && ::ftruncate(file, least) != 0) return MDB_CORRUPTED;
    return MDB_SUCCESS;
}

int HintStore::load() {
    MDB_txn* transaction = nullptr;
    int result = mdb_txn_begin(environment_, nullptr, MDB_RDONLY, &transaction);
    if (result != MDB_SUCCESS) return result;
    MDB_cursor* cursor = nullptr;
    result = mdb_dbi_open(transaction, nullptr, 0, &table_);
    if (result == MDB_SUCCESS) result = mdb_cursor_open(transaction, table_, &cursor);
    if (result == MDB_SUCCESS) {
        MDB_val key, value;
        while ((result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) == MDB_SUCCESS)
            take(copy(key), copy(value));
        mdb_cursor_close(cursor);
    }
    mdb_txn_abort(transaction);
    return result == MDB_NOTFOUND ? MDB_SUCCESS : result;
}

void HintStore::take(const std::string& key, const std::string& value) {
    std::uint64_t number = 0;
    std::string rest;
    if (!read_number(value, &number, &rest)) return;
    if (key == kIncarnationKey && rest.empty()) incarnation_ = number;
    if (key.compare(0, kEpochPrefix.size(), kEpochPrefix) == 0 && !rest.empty() && rest.front() == ' ')
        epochs_[key.substr(kEpochPrefix.size())] = {number, rest.substr(1)};
}

std::uint64_t HintStore::next_incarnation() {
    if (environment_ == nullptr && !open()) return 0;
    const std::uint64_t next = incarnation_ + 1;
    if (!put(kIncarnationKey, std::to_string(next))) return 0;
    incarnation_ = next;
    return next;
}

bool HintStore::save_epoch(const std::string& duty, std::uint64_t epoch, const std::string& holder) {
    if (environment_ == nullptr && !open()) return false;
    if (!put(kEpochPrefix + duty, std::to_string(epoch) + " " + holder)) return false;
    epochs_[duty] = {epoch, holder};
    return true;
}

// After a failure the environment is closed: LMDB refuses further work on some, and the next call opens it
// again.
bool HintStore::put(const std::string& key, const std::string& value) {
    const bool ok = put_now(key, value) == MDB_SUCCESS;
    if (!ok) close();
    return ok;
}

int HintStore::put_now(const std::string& key, const std::string& value) {
    MDB_txn* transaction = nullptr;
    int result = mdb_txn_begin(environment_, nullptr, 0, &transaction);
    if (result != MDB_SUCCESS) return result;
    MDB_val stored_key = view(key), stored_value = view(value);
    result = mdb_put(transaction, table_, &stored_key, &stored_value, 0);
    if (result == MDB_SUCCESS) return mdb_txn_commit(transaction);
    mdb_txn_abort(transaction);
    return result;
}

void HintStore::close() {
    if (environment_ != nullptr) mdb_env_close(environment_);
    environment_ = nullptr;
}

}  // namespace consensus
