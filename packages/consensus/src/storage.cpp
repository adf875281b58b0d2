// The control document in slot files `control-<generation>-a` and `-b`, written by turns so that one of them
// is always whole. A generation ends with the first write or sync that fails; the next save begins another
// one.
#include "consensus/storage.hpp"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <vector>

#include "consensus/content.hpp"
#include "hint_store.hpp"
#include "pith/hash.hpp"
#include "weft/codec.hpp"

namespace consensus {

using pith::fail;
using pith::Kind;

namespace {

// -- a slot file's bytes: magic, check, format, sequence, length, document; the check covers all that follows
// it
constexpr std::string_view kMagic = "mscontrl";
constexpr std::size_t kCheckSize = 64;  // BLAKE2b-256 in hex
constexpr std::size_t kCheckedFrom = kMagic.size() + kCheckSize;
constexpr std::size_t kHeaderSize = kCheckedFrom + 4 + 8 + 8;
constexpr std::uint32_t kSlotFormat = 1;
constexpr std::size_t kMaxSlotFile = kMaxContent + 4 * 1024 * 1024;  // the text and all else
constexpr std::size_t kReadBackChunk = 64 * 1024;

constexpr std::size_t kIdentitySize = 16;  // bytes
constexpr std::string_view kSlotPrefix = "control-";
constexpr std::array<std::string_view, 2> kSlotSuffix = {"-a", "-b"};

auto disk_error(const std::string& what, const std::error_code& error) {
    return fail(Kind::disk_failed, what + ": " + error.message() + ": check the disk and its free space");
}

tl::unexpected<pith::Error> pass_on(const pith::Error& error) { return tl::unexpected<pith::Error>(error); }

std::string slot_image(std::uint64_t sequence, const std::string& document) {
    weft::Writer checked;
    checked.put(kSlotFormat);
    checked.put(sequence);
    checked.put(static_cast<std::uint64_t>(document.size()));
    std::string image(kMagic);
    image.reserve(kHeaderSize + document.size());
    image.append(kCheckSize, ' ');
    image += checked.bytes();
    image += document;
    const std::string check = pith::digest_hex(std::string_view(image).substr(kCheckedFrom));
    image.replace(kMagic.size(), kCheckSize, check);
    return image;
}

// What a slot file holds; nothing where its bytes do not check.
struct Slot {
    std::uint32_t format = 0;
    std::uint64_t sequence = 0;
    std::string_view document;
};

std::optional<Slot> read_slot(std::string_view image) {
    if (image.size() < kHeaderSize || image.substr(0, kMagic.size()) != kMagic) return std::nullopt;
    if (pith::digest_hex(image.substr(kCheckedFrom)) != image.substr(kMagic.size(), kCheckSize))
        return std::nullopt;
    weft::Reader reader(image.substr(kCheckedFrom, kHeaderSize - kCheckedFrom));
    Slot slot;
    std::uint64_t length = 0;
    reader.get(slot.format);
    reader.get(slot.sequence);
    reader.get(length);
    slot.document = image.substr(kHeaderSize);
    return length == slot.document.size() ? std::optional<Slot>(slot) : std::nullopt;
}

// -- names
std::string slot_name(std::uint64_t generation, std::size_t side) {
    return std::string(kSlotPrefix) + std::to_string(generation) + std::string(kSlotSuffix[side]);
}

bool starts_with(const std::string& name, std::string_view start) {
    return name.compare(0, start.size(), start) == 0;
}

// The generation in a slot file's name; nothing where it is the name of something else.
std::optional<std::uint64_t> slot_generation(const std::string& name) {
    if (!starts_with(name, kSlotPrefix)) return std::nullopt;
    std::uint64_t generation = 0;
    const char* digits = name.data() + kSlotPrefix.size();
    if (std::from_chars(digits, name.data() + name.size(), generation).ec != std::errc()) return std::nullopt;
    const bool ours = name == slot_name(generation, 0) || name == slot_name(generation, 1);
    return ours ? std::optional<std::uint64_t>(generation) : std::nullopt;
}

// A commit of the version before; its names sort by number.
bool is_old_commit(const std::string& name) {
    constexpr std::string_view start = "commit-", end = ".json";
    return starts_with(name, start) && name.size() > start.size() + end.size() &&
           name.compare(name.size() - end.size(), end.size(), end) == 0;
}

std::string parent_of(std::string folder) {
    while (folder.size() > 1 && folder.back() == '/') folder.pop_back();
    const auto slash = folder.rfind('/');
    if (slash == std::string::npos) return ".";
    return slash == 0 ? "/" : folder.substr(0, slash);
}

std::string new_identity() {
    pith::crypto_start();
    std::array<char, kIdentitySize> bytes;
    randombytes_buf(bytes.data(), bytes.size());
    return pith::to_hex(std::string_view(bytes.data(), bytes.size()));
}

// A file that is open for as long as this lives.
class ReadHandle {
  public:
    explicit ReadHandle(FileSystem& files) : files_(files) {}
    ~ReadHandle() {
        if (file_ >= 0) files_.close(file_);
    }
    ReadHandle(const ReadHandle&) = delete;
    ReadHandle& operator=(const ReadHandle&) = delete;
    std::error_code open(const std::string& path) { return files_.open_to_read(path, &file_); }
    int file() const { return file_; }

  private:
    FileSystem& files_;
    int file_ = -1;
};

// Whether decode() can read again what encode() makes of it.
bool can_be_read(const weft::ControlState& state) {
    return state.recent.size() <= weft::kMaxItems && state.voters.size() <= weft::kMaxItems &&
           state.joining.size() <= weft::kMaxItems;
}

bool can_be_read(const DurableState& state) {
    return state.text.size() <= kMaxContent && can_be_read(state.state) && can_be_read(state.decided) &&
           state.founding.voters.size() <= weft::kMaxItems;
}

}  // namespace

struct Storage::Impl {
    Impl(std::string folder_path, FileSystem& file_system)
        : folder(std::move(folder_path)), files(file_system), hints(folder + "/memory.mdb") {}
    ~Impl() { close_all(); }

    std::string path(const std::string& name) const { return folder + "/" + name; }
    pith::Result<DurableState> open();
    pith::Result<bool> save(const DurableState& state);

    pith::Result<bool> make_folder();
    pith::Result<bool> sync_parent();
    pith::Result<bool> take_lock();
    pith::Result<bool> refuse_old_version(const std::vector<std::string>& names) const;
    pith::Result<DurableState> read_newest(const std::vector<std::string>& names);
    pith::Result<std::string> read_file(const std::string& name) const;

    pith::Result<bool> begin_generation(const std::string& image);
    pith::Result<bool> write_generation(const std::string& image);
    pith::Result<bool> write_slot(std::size_t side, const std::string& image);
    pith::Result<bool> read_back(const std::string& name, const std::string& image) const;
    void remove_slot(std::size_t side);
    void remove_former();
    void close_slots();
    void close_all();

    std::string folder;
    FileSystem& files;
    HintStore hints;
    std::string set_aside;
    int lock = -1;
    std::array<int, 2> slots = {-1, -1};  // files of the present generation
    std::size_t turn = 0;                 // the side to write next; the other one is sound
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;  // of the last attempt to write
    bool opened = false;
    bool distrusted = true;    // the present generation's files take no more writes
    bool former_left = false;  // files of former generations may still be there
    bool folder_made = false;  // by us
};

pith::Result<DurableState> Storage::Impl::open() {
    close_all();
    auto step = make_folder();
    if (step) step = take_lock();
    if (!step) return pass_on(step.error());
    std::vector<std::string> names;
    const std::error_code error = files.list(folder, &names);
    if (error) return disk_error("can't list " + folder, error);
    step = refuse_old_version(names);
    if (!step) return pass_on(step.error());
    auto state = read_newest(names);
    if (!state) return state;
    step = begin_generation(slot_image(++sequence, encode(*state)));
    if (!step) return pass_on(step.error());
    hints.open();
    opened = true;
    return state;
}

pith::Result<bool> Storage::Impl::make_folder() {
    const std::error_code error = files.make_folder(folder);
    if (!error) folder_made = true;
    if (error && error != std::errc::file_exists) return disk_error("can't make " + folder, error);
    return true;
}

// A folder's own name has to last before an identity is kept in it. Where it was there before, this process
// may have no right to its parent: then whoever made it saw to that.
pith::Result<bool> Storage::Impl::sync_parent() {
    const std::string parent = parent_of(folder);
    const std::error_code error = files.sync_folder(parent);
    const bool disk_refuses = error == std::errc::io_error || error == std::errc::no_space_on_device;
    if (error && (folder_made || disk_refuses)) return disk_error("can't sync " + parent, error);
    return true;
}

pith::Result<bool> Storage::Impl::take_lock() {
    const std::error_code error = files.lock(path("lock"), &lock);
    if (error == std::errc::resource_unavailable_try_again)
        return fail(Kind::disk_failed,
                    folder + " is in use by another process: stop it, or give this node its own folder");
    if (error) return disk_error("can't lock " + folder, error);
    return true;
}

pith::Result<bool> Storage::Impl::refuse_old_version(const std::vector<std::string>& names) const {
    std::string newest_commit;
    bool old_version = false;
    for (const auto& name : names) {
        if (slot_generation(name)) return true;
        if (is_old_commit(name)) newest_commit = std::max(newest_commit, name);
        old_version = old_version || name == "promises" || is_old_commit(name);
    }
    if (!old_version) return true;
    const std::string bundle =
        newest_commit.empty() ? std::string() : " (it is in " + path(newest_commit) + ")";
    return fail(Kind::disk_failed,
                folder +
                    " is of the version before: move it away and start with an empty folder, the node "
                    "then learns the state from the others; to carry a whole fleet over, push the last "
                    "bundle again" +
                    bundle);
}

// The newest sound document of all slot files, or that of an empty disk. A file that can't be read at all is
// an error: it may hold a newer document than the others.
pith::Result<DurableState> Storage::Impl::read_newest(const std::vector<std::string>& names) {
    generation = 0;
    sequence = 0;
    std::string newest;
    for (const auto& name : names) {
        const auto of_generation = slot_generation(name);
        if (!of_generation) continue;
        generation = std::max(generation, *of_generation);
        auto image = read_file(name);
        if (!image) return pass_on(image.error());
        const auto slot = read_slot(*image);
        if (!slot && !image->empty()) set_aside = name;  // an empty one was never written
        if (!slot || slot->sequence < sequence) continue;
        sequence = slot->sequence;
        newest = std::move(*image);
    }
    DurableState state;
    if (newest.empty()) {
        auto synced = sync_parent();
        if (!synced) return pass_on(synced.error());
        state.disk = new_identity();
        return state;
    }
    const auto slot = read_slot(newest);
    if (slot->format != kSlotFormat)
        return fail(Kind::disk_failed, folder + " is of a newer version: start that version again");
    return decode(slot->document);
}

// Nothing of a file that is larger than any document can be.
pith::Result<std::string> Storage::Impl::read_file(const std::string& name) const {
    ReadHandle handle(files);
    std::error_code error = handle.open(path(name));
    if (error) return disk_error("can't open " + path(name), error);
    std::uint64_t size = 0;
    std::string bytes;
    error = files.size(handle.file(), &size);
    const std::size_t count = std::min<std::uint64_t>(size, kMaxSlotFile + 1);
    if (!error) error = files.read(handle.file(), 0, count, &bytes);
    if (error) return disk_error("can't read " + path(name), error);
    return bytes;
}

pith::Result<bool> Storage::Impl::save(const DurableState& state) {
    if (!opened) return fail(Kind::disk_failed, folder + " is not open: open it first");
    if (!can_be_read(state))
        return fail(Kind::too_large, "the control state is too large to store: drop unused routes or keys");
    const std::string image = slot_image(++sequence, encode(state));
    if (image.size() > kMaxSlotFile)
        return fail(Kind::too_large, "the control state is too large to store: drop unused routes or keys");
    if (distrusted) return begin_generation(image);
    auto written = write_slot(turn, image);
    if (!written) {
        distrusted = true;
        remove_slot(turn);  // its space may be needed; the other side is sound
        return written;
    }
    turn = 1 - turn;
    if (former_left) remove_former();
    return true;
}

// Writes `image` to new files. Those of the generation before are removed only once that is certain.
pith::Result<bool> Storage::Impl::begin_generation(const std::string& image) {
    close_slots();
    distrusted = true;
    ++generation;
    auto written = write_generation(image);
    if (!written) {
        remove_slot(0);
        remove_slot(1);
        return written;
    }
    distrusted = false;
    turn = 1;
    remove_former();
    return true;
}

pith::Result<bool> Storage::Impl::write_generation(const std::string& image) {
    for (std::size_t side = 0; side < slots.size(); ++side) {
        const std::string name = slot_name(generation, side);
        const std::error_code error = files.create(path(name), &slots[side]);
        if (error) return disk_error("can't make " + path(name), error);
    }
    auto written = write_slot(0, image);
    if (!written) return written;
    const std::error_code error = files.sync_folder(folder);
    if (error) return disk_error("can't sync " + folder, error);
    return read_back(slot_name(generation, 0), image);
}

pith::Result<bool> Storage::Impl::write_slot(std::size_t side, const std::string& image) {
    const int file = slots[side];
    const std::string name = path(slot_name(generation, side));
    std::error_code error = files.write(file, 0, image);
    if (error) return disk_error("can't write " + name, error);
    error = files.truncate(file, image.size());
    if (error) return disk_error("can't set the length of " + name, error);
    error = files.sync(file);
    if (error) return disk_error("can't sync " + name, error);
    return true;
}

pith::Result<bool> Storage::Impl::read_back(const std::string& name, const std::string& image) const {
    ReadHandle handle(files);
    std::error_code error = handle.open(path(name));
    if (error) return disk_error("can't open " + path(name), error);
    std::uint64_t size = 0;
    error = files.size(handle.file(), &size);
    bool same = size == image.size();
    std::string chunk;
    for (std::size_t at = 0; !error && same && at < image.size(); at += kReadBackChunk) {
        error = files.read(handle.file(), at, kReadBackChunk, &chunk);
        same = image.compare(at, kReadBackChunk, chunk) == 0;
    }
    if (error) return disk_error("can't read " + path(name), error);
    if (!same)
        return fail(Kind::disk_failed,
                    path(name) + " does not hold what was written: check the disk, it may be failing");
    return true;
}

// At best effort: what stays is removed after a later save, or as the folder is opened again.
void Storage::Impl::remove_slot(std::size_t side) {
    if (slots[side] < 0) return;
    files.close(slots[side]);
    slots[side] = -1;
    files.remove(path(slot_name(generation, side)));
    former_left = true;
}

// Removes all generations but the present one, which is sound and durable. At best effort, as above.
void Storage::Impl::remove_former() {
    former_left = true;
    std::vector<std::string> names;
    if (files.list(folder, &names)) return;
    bool removed = false, failed = false;
    for (const auto& name : names) {
        const auto of_generation = slot_generation(name);
        if (!of_generation || *of_generation == generation) continue;
        failed = static_cast<bool>(files.remove(path(name))) || failed;
        removed = true;
    }
    if (removed) failed = static_cast<bool>(files.sync_folder(folder)) || failed;
    former_left = failed;
}

void Storage::Impl::close_slots() {
    for (int& file : slots) {
        if (file >= 0) files.close(file);
        file = -1;
    }
}

void Storage::Impl::close_all() {
    opened = false;
    distrusted = true;
    close_slots();
    if (lock >= 0) files.close(lock);
    lock = -1;
}

Storage::Storage(std::string folder, FileSystem& files)
    : impl_(std::make_unique<Impl>(std::move(folder), files)) {}

Storage::~Storage() = default;

pith::Result<DurableState> Storage::open() {
    auto state = impl_->open();
    if (!state) impl_->close_all();
    return state;
}

pith::Result<bool> Storage::save(const DurableState& state) { return impl_->save(state); }

std::uint64_t Storage::next_incarnation() { return impl_->hints.next_incarnation(); }

const std::map<std::string, std::pair<std::uint64_t, std::string>>& Storage::epochs() const {
    return impl_->hints.epochs();
}

bool Storage::save_epoch(const std::string& duty, std::uint64_t epoch, const std::string& holder) {
    return impl_->hints.save_epoch(duty, epoch, holder);
}

const std::string& Storage::set_aside() const { return impl_->set_aside; }

}  // namespace consensus
