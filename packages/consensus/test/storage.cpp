#define BOOST_TEST_MODULE consensus_storage
#include "consensus/storage.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <vector>

#include "consensus/content.hpp"
#include "pith/hash.hpp"

using namespace consensus;
using pith::Rng;

namespace {

// -- a disk that fails, fills up and loses power

// Thrown out of a file operation: the process ends there.
struct ProcessEnd {};

// Mistakes that Storage might make, brought about from below.
enum class Mutation {
    none,
    skip_folder_sync,    // names are never made durable
    skip_file_sync,      // contents are never made durable
    reuse_failed_file,   // a file whose sync failed is written on
    overwrite_one_slot,  // both slots are the same file
    trust_after_end,     // open() does not write anew what it read
};

class FakeDisk : public FileSystem {
  public:
    explicit FakeDisk(std::uint64_t seed, Mutation mutation = Mutation::none)
        : random_(seed), mutation_(mutation) {}

    // Faults, until heal().
    std::uint64_t error_percent = 0;       // of writes, syncs, makings and removals
    std::uint64_t read_error_percent = 0;  // of reads
    bool refuse = false;                   // every write
    std::uint64_t capacity = UINT64_MAX;   // bytes in all files
    std::int64_t calls_until_end = -1;     // of the process; negative: it does not end
    bool reopening = false;                // open() runs, on a folder that holds documents

    void heal() {
        error_percent = read_error_percent = 0;
        refuse = false;
        capacity = UINT64_MAX;
        calls_until_end = -1;
    }
    bool faulty() const {
        return error_percent > 0 || read_error_percent > 0 || refuse || capacity != UINT64_MAX;
    }
    // What is in memory stays.
    void process_ended() {
        handles_.clear();
        calls_until_end = -1;
        ended_ = reopening = false;
    }
    void power_loss() {
        process_ended();
        const std::uint64_t mode = random_.below(4);  // all unsynced is gone, all is kept, else by chance
        if (!folder_durable_ && mode != 1) {
            folder_there_ = false;
            names_.clear();
        }
        for (auto& [name, states] : former_) {
            const auto now = names_.find(name);
            states.push_back(now == names_.end() ? nullptr : now->second);
            const std::size_t kept = mode == 0   ? 0
                                     : mode == 1 ? states.size() - 1
                                                 : random_.below(states.size());
            names_.erase(name);
            if (states[kept] != nullptr && folder_there_) names_[name] = states[kept];
        }
        former_.clear();
        for (auto& [name, inode] : names_) settle(inode.get(), mode);
    }
    std::size_t open_handles() const { return handles_.size(); }
    std::vector<std::string> file_names() const {
        std::vector<std::string> names;
        for (const auto& [name, inode] : names_) names.push_back(name);
        return names;
    }
    std::string& bytes_of(const std::string& name) { return names_.at(name)->seen; }
    void put_file(const std::string& name, const std::string& bytes) {
        folder_there_ = folder_durable_ = true;
        names_[name] = std::make_shared<Inode>();
        names_[name]->seen = names_[name]->durable = bytes;
    }
    void remove_file(const std::string& name) { names_.erase(name); }

    std::error_code make_folder(const std::string&) override {
        if (folder_there_) return std::make_error_code(std::errc::file_exists);
        if (const auto error = step()) return error;
        folder_there_ = true;
        folder_durable_ = false;
        return {};
    }
    std::error_code list(const std::string&, std::vector<std::string>* names) override {
        if (const auto error = read_step()) return error;
        *names = file_names();
        names->insert(names->end(), {".", ".."});
        return {};
    }
    std::error_code sync_folder(const std::string& path) override {
        if (const auto error = step()) return error;
        if (mutation_ == Mutation::skip_folder_sync) return {};
        if (path == kFolder) {
            former_.clear();
        } else {
            folder_durable_ = true;
        }
        return {};
    }
    std::error_code remove(const std::string& path) override {
        if (const auto error = step()) return error;
        if (untouched()) return {};
        const auto at = names_.find(name_of(path));
        if (at == names_.end()) return std::make_error_code(std::errc::no_such_file_or_directory);
        remember(at->first);
        names_.erase(at);
        return {};
    }
    std::error_code lock(const std::string& path, int* file) override {
        if (names_.count(name_of(path)) == 0) {
            if (const auto error = step()) return error;
            make(name_of(path));
        }
        *file = give_handle(names_.at(name_of(path)));
        return {};
    }
    std::error_code create(const std::string& path, int* file) override {
        if (const auto error = step()) return error;
        const std::string name = name_of(path);
        if (names_.count(name) > 0) return std::make_error_code(std::errc::file_exists);
        const bool second_slot = name.size() > 2 && name.substr(name.size() - 2) == "-b";
        if (mutation_ == Mutation::reuse_failed_file && failed_ != nullptr && !second_slot) {
            names_[name] = failed_;
        } else if (mutation_ == Mutation::overwrite_one_slot && second_slot) {
            names_[name] = names_.at(name.substr(0, name.size() - 1) + "a");
        } else {
            make(name);
        }
        *file = give_handle(names_.at(name));
        return {};
    }
    std::error_code open_to_read(const std::string& path, int* file) override {
        if (const auto error = read_step()) return error;
        const auto at = names_.find(name_of(path));
        if (at == names_.end()) return std::make_error_code(std::errc::no_such_file_or_directory);
        *file = give_handle(at->second);
        return {};
    }
    void close(int file) override { handles_.erase(file); }

    std::error_code size(int file, std::uint64_t* bytes) override {
        if (const auto error = read_step()) return error;
        *bytes = handles_.at(file)->seen.size();
        return {};
    }
    std::error_code read(int file, std::uint64_t offset, std::size_t count, std::string* bytes) override {
        if (const auto error = read_step()) return error;
        const std::string& seen = handles_.at(file)->seen;
        *bytes = offset >= seen.size() ? std::string() : seen.substr(offset, count);
        return {};
    }
    std::error_code write(int file, std::uint64_t offset, const std::string& bytes) override {
        Inode* inode = handles_.at(file).get();
        in_write_ = true;
        const auto error = step();
        in_write_ = false;
        // A part of it may be written, also where the process ends in it.
        std::size_t part = bytes.size();
        if (error || ended_) part = random_.below(bytes.size() + 1);
        const std::uint64_t room = room_to_grow();
        const std::uint64_t growth =
            offset + part - std::min<std::uint64_t>(offset + part, inode->seen.size());
        if (growth > room) part -= growth - room;
        if (!refuse) change(inode, Change{false, offset, bytes.substr(0, part)});
        if (ended_) throw ProcessEnd();
        if (error) return error;
        return part == bytes.size() ? std::error_code() : std::make_error_code(std::errc::no_space_on_device);
    }
    std::error_code truncate(int file, std::uint64_t bytes) override {
        if (const auto error = step()) return error;
        change(handles_.at(file).get(), Change{true, bytes, {}});
        return {};
    }
    std::error_code sync(int file) override {
        Inode* inode = handles_.at(file).get();
        const auto error = step();
        if (error) {
            fail_sync(handles_.at(file));
            return error;
        }
        if (mutation_ == Mutation::skip_file_sync || untouched() || inode->lost) return {};
        inode->durable = inode->seen;
        inode->unsynced.clear();
        return {};
    }

    static constexpr const char* kFolder = "/nonexistent/marblesaddle/node";

  private:
    // A write, or (`cut`) a new length, which is the offset then.
    struct Change {
        bool cut = false;
        std::uint64_t offset = 0;
        std::string bytes;
    };
    struct Inode {
        std::string seen, durable;
        std::vector<Change> unsynced;
        bool lost = false;  // a sync failed: no later write reaches the disk, and syncs do not tell
    };
    using File = std::shared_ptr<Inode>;

    static std::string name_of(const std::string& path) { return path.substr(path.rfind('/') + 1); }

    // With Mutation::trust_after_end, what open() finds stays as it was.
    bool untouched() const { return mutation_ == Mutation::trust_after_end && reopening; }
    // Each call that changes something: counts towards the end of the process, and may fail.
    std::error_code step() {
        count();
        if (refuse) return std::make_error_code(std::errc::no_space_on_device);
        if (random_.below(100) < error_percent) return std::make_error_code(std::errc::io_error);
        return {};
    }
    std::error_code read_step() {
        count();
        return random_.below(100) < read_error_percent ? std::make_error_code(std::errc::io_error)
                                                       : std::error_code();
    }
    // A write throws by itself, after a part of it.
    void count() {
        if (ended_) throw ProcessEnd();
        if (calls_until_end < 0 || calls_until_end-- > 0) return;
        ended_ = true;
        if (!in_write_) throw ProcessEnd();
    }

    std::uint64_t room_to_grow() const {
        std::uint64_t used = 0;
        for (const auto& [name, file] : names_) used += file->seen.size();
        return used >= capacity ? 0 : capacity - used;
    }
    static void apply(std::string* bytes, const Change& change) {
        if (change.cut) {
            bytes->resize(change.offset);
            return;
        }
        bytes->resize(std::max<std::size_t>(bytes->size(), change.offset + change.bytes.size()));
        bytes->replace(change.offset, change.bytes.size(), change.bytes);
    }
    static void change(Inode* inode, const Change& change) {
        apply(&inode->seen, change);
        inode->unsynced.push_back(change);
    }
    // Blocks of it by chance.
    void apply_torn(std::string* bytes, const Change& change) {
        constexpr std::size_t kBlock = 16;
        if (change.cut) return;
        const std::uint64_t keep = 1 + random_.below(3);
        for (std::size_t at = 0; at < change.bytes.size(); at += kBlock)
            if (random_.below(4) < keep)
                apply(bytes, Change{false, change.offset + at, change.bytes.substr(at, kBlock)});
    }
    void settle(Inode* inode, std::uint64_t mode) {
        if (!inode->lost && mode != 0)
            for (const auto& change : inode->unsynced) {
                const std::uint64_t fate = mode == 1 ? 0 : random_.below(3);
                if (fate == 0) apply(&inode->durable, change);
                if (fate == 1) apply_torn(&inode->durable, change);
            }
        inode->seen = inode->durable;
        inode->unsynced.clear();
        inode->lost = false;
    }
    // Some of what was unsynced reached the disk, and nothing more will.
    void fail_sync(const File& file) {
        if (file->lost) return;
        for (const auto& change : file->unsynced) {
            const std::uint64_t fate = random_.below(3);
            if (fate == 0) apply(&file->durable, change);
            if (fate == 1) apply_torn(&file->durable, change);
        }
        file->unsynced.clear();
        file->lost = true;
        failed_ = file;
    }
    void remember(const std::string& name) {
        const auto at = names_.find(name);
        former_[name].push_back(at == names_.end() ? nullptr : at->second);
    }
    void make(const std::string& name) {
        remember(name);
        names_[name] = std::make_shared<Inode>();
    }
    int give_handle(const File& file) {
        handles_[++last_handle_] = file;
        return last_handle_;
    }

    Rng random_;
    Mutation mutation_;
    std::map<std::string, File> names_;
    std::map<std::string, std::vector<File>>
        former_;  // of each name: what it was since the folder's last sync
    std::map<int, File> handles_;
    File failed_;
    int last_handle_ = 0;
    bool folder_there_ = false, folder_durable_ = true, ended_ = false, in_write_ = false;
};

// -- one run: a storage under faults, and what it must keep

std::string document_text(std::uint64_t number) {
    Rng random(number);
    return std::string(random.below(300), static_cast<char>('a' + number % 26));
}

DurableState document(std::uint64_t number, const std::string& disk) {
    DurableState state;
    state.disk = disk;
    state.promised.round = number;
    if (number > 0) state.text = document_text(number);
    return state;
}

// What may be measured over many runs.
struct Tally {
    std::uint64_t opens = 0, failed_opens = 0, saves = 0, failed_saves = 0, power_losses = 0, kills = 0;
};

// Drives a Storage by a seed. `fault()` names the first rule that was broken, or is empty.
class Run {
  public:
    Run(std::uint64_t seed, Mutation mutation, Tally* tally)
        : random_(seed * 2 + 1), disk_(seed, mutation), tally_(tally) {}

    const std::string& fault() {
        for (int i = 0; i < kSteps && fault_.empty(); ++i) step();
        disk_.heal();
        end_process(true);
        if (fault_.empty()) open();
        return fault_;
    }

  private:
    static constexpr int kSteps = 50;

    void step() {
        draw_faults();
        try {
            if (storage_ == nullptr) {
                open();
            } else if (random_.below(8) == 0) {
                end_process(random_.below(2) == 0);
            } else {
                save();
            }
        } catch (const ProcessEnd&) {
            end_process(random_.below(3) > 0);
        }
    }

    void draw_faults() {
        if (random_.below(3) > 0) return;
        disk_.heal();
        switch (random_.below(7)) {
            case 0:
                disk_.error_percent = 5 + random_.below(60);
                break;
            case 1:
                disk_.refuse = true;
                break;
            case 2:
                disk_.capacity = random_.below(1500);
                break;
            case 3:
                disk_.read_error_percent = 1 + random_.below(30);
                break;
            case 4:
                disk_.calls_until_end = static_cast<std::int64_t>(random_.below(20));
                break;
            default:
                break;
        }
    }

    void open() {
        storage_ = std::make_unique<Storage>(FakeDisk::kFolder, disk_);
        for (const auto& name : disk_.file_names())
            if (name.compare(0, 8, "control-") == 0) disk_.reopening = true;
        const auto state = storage_->open();
        disk_.reopening = false;
        ++tally_->opens;
        if (!state) {
            ++tally_->failed_opens;
            if (!disk_.faulty()) fault_ = "a healthy disk was refused: " + state.error().message;
            if (disk_.open_handles() != 0) fault_ = "handles are left after a failure";
            storage_.reset();
            return;
        }
        check(*state);
    }

    void check(const DurableState& state) {
        const std::uint64_t number = state.promised.round;
        if (identity_.empty()) identity_ = state.disk;
        if (state.disk != identity_ || identity_.size() != 32) fault_ = "another identity";
        if (number < saved_) fault_ = "an older document: " + std::to_string(number);
        if (number > attempted_) fault_ = "a document that was never written";
        if (encode(state) != encode(document(number, identity_))) fault_ = "a harmed document";
        // What open() gave is durable, and later attempts are gone.
        saved_ = attempted_ = number;
    }

    void save() {
        ++attempted_;
        const auto saved = storage_->save(document(attempted_, identity_));
        ++tally_->saves;
        if (saved) {
            saved_ = attempted_;
            return;
        }
        ++tally_->failed_saves;
        if (!disk_.faulty()) fault_ = "a healthy disk took no document: " + saved.error().message;
    }

    void end_process(bool power_loss) {
        storage_.reset();
        if (fault_.empty() && disk_.open_handles() != 0) fault_ = "handles are left after the end";
        ++(power_loss ? tally_->power_losses : tally_->kills);
        if (power_loss) {
            disk_.power_loss();
        } else {
            disk_.process_ended();
        }
    }

    Rng random_;
    FakeDisk disk_;
    Tally* tally_;
    std::unique_ptr<Storage> storage_;
    std::string identity_, fault_;
    std::uint64_t saved_ = 0, attempted_ = 0;  // numbers of documents
};

// The number of runs in which a rule was broken; `example` is one of them.
int broken_runs(int runs, Mutation mutation, Tally* tally, std::string* example) {
    int broken = 0;
    for (int seed = 0; seed < runs; ++seed) {
        Run run(static_cast<std::uint64_t>(seed), mutation, tally);
        const std::string fault = run.fault();
        if (fault.empty()) continue;
        ++broken;
        *example = "seed " + std::to_string(seed) + ": " + fault;
    }
    return broken;
}

// A folder of the machine's own, removed at the end.
class TemporaryFolder {
  public:
    TemporaryFolder() {
        std::string path = (std::filesystem::temp_directory_path() / "consensus_storage_XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(path.data()) != nullptr);
        path_ = path;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    std::string operator/(const std::string& name) const { return path_ + "/" + name; }

  private:
    std::string path_;
};

void write_file(const std::string& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary) << bytes;
}

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream bytes;
    bytes << file.rdbuf();
    return bytes.str();
}

std::size_t open_descriptors() {
    const std::filesystem::directory_iterator descriptors("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

// The two slot files of a folder in which document 1 and then 2 was saved; the first name holds 2.
std::vector<std::string> two_slots(FakeDisk* disk, std::string* identity) {
    Storage storage(FakeDisk::kFolder, *disk);
    const auto state = storage.open();
    BOOST_REQUIRE(state.has_value());
    *identity = state->disk;
    BOOST_REQUIRE(storage.save(document(1, *identity)).has_value());
    BOOST_REQUIRE(storage.save(document(2, *identity)).has_value());
    return {"control-1-a", "control-1-b"};
}

}  // namespace

BOOST_AUTO_TEST_CASE(no_crash_or_fault_gives_an_older_or_harmed_document) {
    Tally tally;
    std::string example;
    const int broken = broken_runs(4000, Mutation::none, &tally, &example);
    BOOST_TEST_MESSAGE("opens " << tally.opens << " (failed " << tally.failed_opens << "), saves "
                                << tally.saves << " (failed " << tally.failed_saves << "), power losses "
                                << tally.power_losses << ", kills " << tally.kills);
    BOOST_TEST(broken == 0, example);
    // The faults did strike.
    BOOST_TEST(tally.failed_opens > 1000u);
    BOOST_TEST(tally.failed_saves > 1000u);
    BOOST_TEST(tally.power_losses > 4000u);
}

BOOST_AUTO_TEST_CASE(the_runs_catch_each_mutation) {
    const std::map<std::string, Mutation> mutations = {{"skip_folder_sync", Mutation::skip_folder_sync},
                                                       {"skip_file_sync", Mutation::skip_file_sync},
                                                       {"reuse_failed_file", Mutation::reuse_failed_file},
                                                       {"overwrite_one_slot", Mutation::overwrite_one_slot},
                                                       {"trust_after_end", Mutation::trust_after_end}};
    for (const auto& [name, mutation] : mutations) {
        Tally tally;
        std::string example;
        const int broken = broken_runs(600, mutation, &tally, &example);
        BOOST_TEST_MESSAGE(name << ": " << broken << " of 600 runs, as " << example);
        BOOST_TEST(broken > 0, name);
    }
}

BOOST_AUTO_TEST_CASE(harm_to_a_slot_gives_the_other_one) {
    Rng random(1);
    for (int i = 0; i < 3000; ++i) {
        FakeDisk disk(1);
        std::string identity;
        const auto slots = two_slots(&disk, &identity);
        const std::size_t side = random.below(2);  // 0 holds document 2, 1 holds document 1
        std::string& harmed = disk.bytes_of(slots[side]);
        if (random.below(3) == 0) {
            harmed.resize(random.below(harmed.size()));
        } else {
            harmed[random.below(harmed.size())] ^= static_cast<char>(1 + random.below(255));
        }
        Storage storage(FakeDisk::kFolder, disk);
        const auto state = storage.open();
        BOOST_REQUIRE(state.has_value());
        BOOST_REQUIRE((encode(*state) == encode(document(side == 0 ? 1 : 2, identity))));
    }
}

BOOST_AUTO_TEST_CASE(a_harmed_file_is_named_and_removed) {
    FakeDisk disk(2);
    std::string identity;
    const auto slots = two_slots(&disk, &identity);
    const std::string newer = slots[0];
    disk.bytes_of(newer).back() ^= 1;
    {
        Storage storage(FakeDisk::kFolder, disk);
        const auto state = storage.open();
        BOOST_REQUIRE(state.has_value());
        BOOST_TEST(state->promised.round == 1u);
        BOOST_TEST(storage.set_aside() == newer);
        const auto names = disk.file_names();
        BOOST_TEST((std::find(names.begin(), names.end(), newer) == names.end()));
    }
    // All of them: another disk, which has promised nothing.
    for (const auto& name : disk.file_names())
        if (!disk.bytes_of(name).empty()) disk.bytes_of(name)[0] ^= 1;
    Storage storage(FakeDisk::kFolder, disk);
    const auto state = storage.open();
    BOOST_REQUIRE(state.has_value());
    BOOST_TEST(state->disk != identity);
    BOOST_TEST(state->promised.round == 0u);
}

BOOST_AUTO_TEST_CASE(a_file_that_can_not_be_read_is_no_harmed_one) {
    FakeDisk disk(3);
    std::string identity;
    two_slots(&disk, &identity);
    disk.read_error_percent = 100;
    Storage storage(FakeDisk::kFolder, disk);
    const auto refused = storage.open();
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().kind == pith::Kind::disk_failed));
    BOOST_TEST(disk.open_handles() == 0u);
    disk.heal();
    const auto state = storage.open();
    BOOST_REQUIRE(state.has_value());
    BOOST_TEST(state->promised.round == 2u);
}

BOOST_AUTO_TEST_CASE(a_full_disk_is_left_by_itself) {
    FakeDisk disk(4);
    Storage storage(FakeDisk::kFolder, disk);
    const std::string identity = storage.open()->disk;
    DurableState large = document(1, identity);
    large.text = std::string(5000, 'x');
    disk.capacity = 2000;
    for (int i = 0; i < 3; ++i) {
        const auto saved = storage.save(large);
        BOOST_REQUIRE(!saved.has_value());
        BOOST_TEST((saved.error().kind == pith::Kind::disk_failed));
        BOOST_TEST(saved.error().message.find("free space") != std::string::npos);
    }
    BOOST_TEST(disk.file_names().size() <= 3u);  // the lock, the sound one, at most one more
    BOOST_TEST(storage.save(document(2, identity)).has_value());
    disk.heal();
    BOOST_TEST(storage.save(large).has_value());
}

BOOST_AUTO_TEST_CASE(a_folder_of_the_version_before_is_refused) {
    FakeDisk disk(5);
    disk.put_file("commit-00000000000000000007.json", "x");
    disk.put_file("commit-00000000000000000012.json", "x");
    disk.put_file("promises", "x");
    {
        Storage storage(FakeDisk::kFolder, disk);
        const auto refused = storage.open();
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST((refused.error().kind == pith::Kind::disk_failed));
        BOOST_TEST(refused.error().message.find("move it away") != std::string::npos);
        BOOST_TEST(refused.error().message.find("commit-00000000000000000012.json") != std::string::npos);
        BOOST_TEST(disk.open_handles() == 0u);
    }
    disk.remove_file("commit-00000000000000000007.json");
    disk.remove_file("commit-00000000000000000012.json");
    Storage only_promises(FakeDisk::kFolder, disk);
    BOOST_TEST(!only_promises.open().has_value());
    disk.remove_file("promises");
    BOOST_TEST(only_promises.open().has_value());
    disk.put_file("promises", "x");  // the new files count
    Storage storage(FakeDisk::kFolder, disk);
    BOOST_TEST(storage.open().has_value());
}

BOOST_AUTO_TEST_CASE(what_could_not_be_read_again_is_not_written) {
    FakeDisk disk(6);
    Storage storage(FakeDisk::kFolder, disk);
    BOOST_TEST(!storage.save(document(1, "x")).has_value());  // not open
    const std::string identity = storage.open()->disk;
    DurableState state = document(1, identity);
    state.text = std::string(kMaxContent + 1, 'x');
    BOOST_TEST((storage.save(state).error().kind == pith::Kind::too_large));
    state = document(1, identity);
    state.decided.recent.resize(weft::kMaxItems + 1);
    BOOST_TEST((storage.save(state).error().kind == pith::Kind::too_large));
    BOOST_TEST(storage.save(document(1, identity)).has_value());
}

BOOST_AUTO_TEST_CASE(the_machines_own_files) {
    const TemporaryFolder temporary;
    const std::string folder = temporary / "node";
    const std::size_t descriptors = open_descriptors();
    std::string identity;
    {
        Storage storage(folder);
        const auto state = storage.open();
        BOOST_REQUIRE(state.has_value());
        identity = state->disk;
        BOOST_TEST(identity.size() == 32u);
        BOOST_TEST(storage.epochs().empty());
        BOOST_TEST(storage.next_incarnation() == 1u);
        BOOST_TEST(storage.next_incarnation() == 2u);
        BOOST_TEST(storage.save_epoch("listing", 9, "node-4"));
        BOOST_TEST(storage.save_epoch("listing", 10, "node 5"));
        for (std::uint64_t number = 1; number < 6; ++number)
            BOOST_REQUIRE(storage.save(document(number, identity)).has_value());
    }
    Storage storage(folder);
    for (int i = 0; i < 3; ++i) {
        const auto state = storage.open();  // also while it is open
        BOOST_REQUIRE(state.has_value());
        BOOST_TEST((encode(*state) == encode(document(5, identity))));
    }
    BOOST_TEST(storage.next_incarnation() == 3u);
    BOOST_REQUIRE(storage.epochs().count("listing") == 1u);
    BOOST_TEST(storage.epochs().at("listing").first == 10u);
    BOOST_TEST(storage.epochs().at("listing").second == "node 5");
    BOOST_TEST(storage.set_aside().empty());
    DurableState largest = document(6, identity);
    largest.text = std::string(kMaxContent, 'x');
    BOOST_REQUIRE(storage.save(largest).has_value());
    BOOST_REQUIRE(storage.save(largest).has_value());
    const auto state = storage.open();
    BOOST_REQUIRE(state.has_value());
    BOOST_TEST((state->text == largest.text));
    BOOST_TEST(open_descriptors() <= descriptors + 5);  // lock, two slots, LMDB's two
}

BOOST_AUTO_TEST_CASE(a_folder_in_use_is_refused) {
    const TemporaryFolder temporary;
    Storage storage(temporary / "node");
    BOOST_REQUIRE(storage.open().has_value());
    const pid_t child = ::fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0) {
        Storage second(temporary / "node");
        const auto refused = second.open();
        const bool named = !refused && refused.error().message.find("another process") != std::string::npos;
        ::_exit(named ? 0 : 1);
    }
    int status = 0;
    BOOST_REQUIRE(::waitpid(child, &status, 0) == child);
    BOOST_TEST(WEXITSTATUS(status) == 0);
}

BOOST_AUTO_TEST_CASE(failed_opens_leak_no_descriptors) {
    const TemporaryFolder temporary;
    write_file(temporary / "file", "x");
    std::filesystem::create_directory(temporary / "old");
    write_file(temporary / "old/promises", "x");
    Storage no_folder(temporary / "file"), old_folder(temporary / "old"), no_parent(temporary / "a/b");
    const std::size_t descriptors = open_descriptors();
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(!no_folder.open().has_value());
        BOOST_TEST(!old_folder.open().has_value());
        BOOST_TEST(!no_parent.open().has_value());
    }
    BOOST_TEST(open_descriptors() == descriptors);
    std::filesystem::remove(temporary / "old/promises");
    BOOST_TEST(old_folder.open().has_value());
}

BOOST_AUTO_TEST_CASE(hints_may_be_lost) {
    const TemporaryFolder temporary;
    const std::string folder = temporary / "node", hints = folder + "/memory.mdb";
    {
        Storage storage(folder);
        BOOST_REQUIRE(storage.open().has_value());
        BOOST_TEST(storage.next_incarnation() == 1u);
    }
    const std::string sound = read_file(hints);
    Rng random(7);
    for (int i = 0; i < 40; ++i) {  // cut anywhere, as a loss of power may leave it
        write_file(hints, sound.substr(0, random.below(sound.size() + 1)));
        Storage storage(folder);
        BOOST_REQUIRE(storage.open().has_value());
        BOOST_TEST(storage.next_incarnation() >= 1u);
    }
    write_file(hints, std::string(10000, 'x'));
    {
        Storage storage(folder);
        BOOST_REQUIRE(storage.open().has_value());
        BOOST_TEST(storage.next_incarnation() == 1u);
    }
    std::filesystem::remove(hints);
    std::filesystem::create_directory(hints);
    Storage storage(folder);
    BOOST_REQUIRE(storage.open().has_value());
    BOOST_TEST(storage.epochs().empty());
    BOOST_TEST(storage.next_incarnation() == 0u);
    BOOST_TEST(!storage.save_epoch("listing", 1, "node"));
    std::filesystem::remove(hints);
    BOOST_TEST(storage.next_incarnation() == 1u);
}
