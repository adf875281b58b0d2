#pragma once
// The file operations that Storage needs, as an interface: tests put a disk in its place that fails, fills up
// and loses power.
#include <cstddef>
#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

namespace consensus {

// Each call gives an error code of the generic category (errno), or an empty one. Offsets and sizes are in
// bytes.
class FileSystem {
  public:
    virtual ~FileSystem() = default;

    // Makes one folder; `std::errc::file_exists` where there is one.
    virtual std::error_code make_folder(const std::string& path) = 0;
    // Names in a folder, in no order.
    virtual std::error_code list(const std::string& path, std::vector<std::string>* names) = 0;
    // Makes the names of a folder durable: those made, renamed and removed.
    virtual std::error_code sync_folder(const std::string& path) = 0;
    virtual std::error_code remove(const std::string& path) = 0;

    // Opens (or makes) a file and locks it for this process; `std::errc::resource_unavailable_try_again`
    // where another process holds the lock. Closing it lets go of the lock.
    virtual std::error_code lock(const std::string& path, int* file) = 0;
    // Makes a new file for reading and writing; `std::errc::file_exists` where there is one.
    virtual std::error_code create(const std::string& path, int* file) = 0;
    virtual std::error_code open_to_read(const std::string& path, int* file) = 0;
    virtual void close(int file) = 0;

    virtual std::error_code size(int file, std::uint64_t* bytes) = 0;
    // Reads up to `count` bytes; fewer only at the file's end.
    virtual std::error_code read(int file, std::uint64_t offset, std::size_t count, std::string* bytes) = 0;
    // Writes all of `bytes`. After an error any part of them may have been written.
    virtual std::error_code write(int file, std::uint64_t offset, const std::string& bytes) = 0;
    virtual std::error_code truncate(int file, std::uint64_t bytes) = 0;
    // Makes a file's content and size durable (not its name).
    virtual std::error_code sync(int file) = 0;
};

// The machine's own files.
FileSystem& posix_files();

}  // namespace consensus
