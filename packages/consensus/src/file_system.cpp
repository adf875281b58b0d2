// FileSystem by system calls. Interrupted calls are repeated.
#include "consensus/file_system.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace consensus {

namespace {

constexpr mode_t kFolderMode = 0700, kFileMode = 0600;

std::error_code last_error() { return {errno, std::generic_category()}; }

std::error_code open_file(const std::string& path, int flags, int* file) {
    do {
        *file = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
    } while (*file < 0 && errno == EINTR);
    return *file < 0 ? last_error() : std::error_code();
}

class PosixFiles : public FileSystem {
  public:
    std::error_code make_folder(const std::string& path) override {
        return ::mkdir(path.c_str(), kFolderMode) == 0 ? std::error_code() : last_error();
    }

    std::error_code list(const std::string& path, std::vector<std::string>* names) override {
        names->clear();
        DIR* folder = ::opendir(path.c_str());
        if (folder == nullptr) return last_error();
        const dirent* entry = nullptr;
        while (errno = 0, (entry = ::readdir(folder)) != nullptr) names->emplace_back(entry->d_name);
        const std::error_code error = errno == 0 ? std::error_code() : last_error();
        ::closedir(folder);
        return error;
    }

    std::error_code sync_folder(const std::string& path) override {
        int folder = -1;
        std::error_code error = open_file(path, O_RDONLY | O_DIRECTORY, &folder);
        if (error) return error;
        if (::fsync(folder) != 0) error = last_error();
        ::close(folder);
        return error;
    }

    std::error_code remove(const std::string& path) override {
        return ::unlink(path.c_str()) == 0 ? std::error_code() : last_error();
    }

    std::error_code lock(const std::string& path, int* file) override {
        std::error_code error = open_file(path, O_CREAT | O_RDWR, file);
        if (error) return error;
        struct flock whole_file {};
        whole_file.l_type = F_WRLCK;
        if (::fcntl(*file, F_SETLK, &whole_file) == 0) return {};
        error = last_error();
        ::close(*file);
        *file = -1;
        const bool held = error == std::errc::permission_denied;  // POSIX allows EACCES as well as EAGAIN
        return held ? std::make_error_code(std::errc::resource_unavailable_try_again) : error;
    }

    std::error_code create(const std::string& path, int* file) override {
        return open_file(path, O_CREAT | O_EXCL | O_RDWR, file);
    }

    std::error_code open_to_read(const std::string& path, int* file) override {
        return open_file(path, O_RDONLY, file);
    }

    void close(int file) override { ::close(file); }

    std::error_code size(int file, std::uint64_t* bytes) override {
        struct stat status {};
        if (::fstat(file, &status) != 0) return last_error();
        *bytes = static_cast<std::uint64_t>(status.st_size);
        return {};
    }

    std::error_code read(int file, std::uint64_t offset, std::size_t count, std::string* bytes) override {
        bytes->resize(count);
        std::size_t done = 0;
        while (done < count) {
            const ssize_t got =
                ::pread(file, bytes->data() + done, count - done, static_cast<off_t>(offset + done));
            if (got < 0 && errno == EINTR) continue;
            if (got < 0) return last_error();
            if (got == 0) break;
            done += static_cast<std::size_t>(got);
        }
        bytes->resize(done);
        return {};
    }

    std::error_code write(int file, std::uint64_t offset, const std::string& bytes) override {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t put =
                ::pwrite(file, bytes.data() + done, bytes.size() - done, static_cast<off_t>(offset + done));
            if (put < 0 && errno == EINTR) continue;
            if (put < 0) return last_error();
            if (put == 0) return std::make_error_code(std::errc::io_error);
            done += static_cast<std::size_t>(put);
        }
        return {};
    }

    std::error_code truncate(int file, std::uint64_t bytes) override {
        int result = 0;
        do {
            result = ::ftruncate(file, static_cast<off_t>(bytes));
        } while (result != 0 && errno == EINTR);
        return result == 0 ? std::error_code() : last_error();
    }

    // Not repeated when it fails: a second call may report success for what the first one dropped.
    std::error_code sync(int file) override {
        return ::fdatasync(file) == 0 ? std::error_code() : last_error();
    }
};

}  // namespace

FileSystem& posix_files() {
    static PosixFiles files;
    return files;
}

}  // namespace consensus
