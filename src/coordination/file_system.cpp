#include "coordination/file_system.h"

#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>
#include <utility>

namespace yuccawheel::coordination
{

namespace
{

constexpr mode_t FileMode = 0600;
constexpr mode_t FolderMode = 0700;
constexpr const char *LockName = "lock";

/// Owns a file descriptor.
class Descriptor
{
public:
    explicit Descriptor(int fd) : fd_(fd)
    {
    }
    Descriptor(Descriptor &&other) noexcept : fd_(std::exchange(other.fd_, -1))
    {
    }
    Descriptor &operator=(Descriptor &&) = delete;
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    ~Descriptor()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }

    int get() const
    {
        return fd_;
    }
    bool valid() const
    {
        return fd_ >= 0;
    }

private:
    int fd_;
};

tl::unexpected<StorageError> errnoError(const std::string &context)
{
    StorageFailure failure = StorageFailure::Failed;
    if (errno == ENOSPC || errno == EDQUOT || errno == EMFILE || errno == ENFILE) {
        failure = StorageFailure::NoSpace;
    } else if (errno == ENOENT) {
        failure = StorageFailure::NotFound;
    }
    return tl::unexpected(StorageError{failure, context + ": " + std::strerror(errno)});
}

StorageResult<void> syncDescriptor(int fd, const std::string &context)
{
    if (::fdatasync(fd) != 0) {
        return tl::unexpected(StorageError{StorageFailure::SyncFailed, context + ": " + std::strerror(errno)});
    }
    return {};
}

class PosixAppendFile : public AppendFile
{
public:
    PosixAppendFile(Descriptor fd, std::string path) : fd_(std::move(fd)), path_(std::move(path))
    {
    }

    StorageResult<void> append(std::string_view data) override
    {
        while (!data.empty()) {
            const ssize_t written = ::write(fd_.get(), data.data(), data.size());
            if (written < 0 && errno == EINTR) {
                continue;
            }
            if (written <= 0) {
                return errnoError(path_);
            }
            data.remove_prefix(static_cast<std::size_t>(written));
        }
        return {};
    }

    StorageResult<void> truncate(std::uint64_t size) override
    {
        while (::ftruncate(fd_.get(), static_cast<off_t>(size)) != 0) {
            if (errno != EINTR) {
                return errnoError(path_);
            }
        }
        return {};
    }

    StorageResult<void> sync() override
    {
        return syncDescriptor(fd_.get(), path_);
    }

private:
    Descriptor fd_;
    std::string path_;
};

class PosixFileSystem : public FileSystem
{
public:
    PosixFileSystem(std::string path, Descriptor folder, Descriptor lock)
        : path_(std::move(path))
        , folder_(std::move(folder))
        , lock_(std::move(lock))
    {
    }

    StorageResult<std::unique_ptr<AppendFile>> create(const std::string &name) override
    {
        return open(name, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC);
    }

    StorageResult<std::unique_ptr<AppendFile>> openAppend(const std::string &name) override
    {
        return open(name, O_WRONLY | O_APPEND | O_CLOEXEC);
    }

    StorageResult<std::string> read(const std::string &name, std::uint64_t offset, std::size_t size) const override
    {
        const Descriptor fd(::openat(folder_.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
        if (!fd.valid()) {
            return errnoError(path(name));
        }
        std::string data(size, '\0');
        std::size_t filled = 0;
        while (filled < size) {
            const ssize_t count =
                ::pread(fd.get(), data.data() + filled, size - filled, static_cast<off_t>(offset + filled));
            if (count < 0 && errno == EINTR) {
                continue;
            }
            if (count < 0) {
                return errnoError(path(name));
            }
            if (count == 0) {
                break;
            }
            filled += static_cast<std::size_t>(count);
        }
        data.resize(filled);
        return data;
    }

    StorageResult<std::uint64_t> size(const std::string &name) const override
    {
        struct stat status {
        };
        if (::fstatat(folder_.get(), name.c_str(), &status, 0) != 0) {
            return errnoError(path(name));
        }
        return static_cast<std::uint64_t>(status.st_size);
    }

    StorageResult<std::vector<std::string>> list() const override
    {
        DIR *stream = ::opendir(path_.c_str());
        if (stream == nullptr) {
            return errnoError(path_);
        }
        std::vector<std::string> names;
        while (const dirent *item = ::readdir(stream)) {
            const std::string name = item->d_name;
            if (name != "." && name != ".." && name != LockName) {
                names.push_back(name);
            }
        }
        ::closedir(stream);
        return names;
    }

    StorageResult<void> rename(const std::string &from, const std::string &to) override
    {
        if (::renameat(folder_.get(), from.c_str(), folder_.get(), to.c_str()) != 0) {
            return errnoError(path(from));
        }
        return {};
    }

    StorageResult<void> remove(const std::string &name) override
    {
        if (::unlinkat(folder_.get(), name.c_str(), 0) != 0) {
            return errnoError(path(name));
        }
        return {};
    }

    StorageResult<void> syncFolder() override
    {
        if (::fsync(folder_.get()) != 0) {
            return tl::unexpected(StorageError{StorageFailure::SyncFailed, path_ + ": " + std::strerror(errno)});
        }
        return {};
    }

    StorageResult<std::uint64_t> freeBytes() const override
    {
        struct statvfs status {
        };
        if (::fstatvfs(folder_.get(), &status) != 0) {
            return errnoError(path_);
        }
        return static_cast<std::uint64_t>(status.f_bavail) * status.f_frsize;
    }

private:
    std::string path(const std::string &name) const
    {
        return path_ + "/" + name;
    }

    StorageResult<std::unique_ptr<AppendFile>> open(const std::string &name, int flags)
    {
        Descriptor fd(::openat(folder_.get(), name.c_str(), flags, FileMode));
        if (!fd.valid()) {
            return errnoError(path(name));
        }
        return std::make_unique<PosixAppendFile>(std::move(fd), path(name));
    }

    std::string path_;
    Descriptor folder_;
    Descriptor lock_;
};

} // namespace

// The lock keeps a second process from writing to the same log.
StorageResult<std::unique_ptr<FileSystem>> openFolder(const std::string &path)
{
    if (::mkdir(path.c_str(), FolderMode) != 0 && errno != EEXIST) {
        return errnoError(path);
    }
    Descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.valid()) {
        return errnoError(path);
    }
    Descriptor lock(::openat(folder.get(), LockName, O_WRONLY | O_CREAT | O_CLOEXEC, FileMode));
    if (!lock.valid()) {
        return errnoError(path + "/" + LockName);
    }
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) {
        return tl::unexpected(StorageError{StorageFailure::InUse, path});
    }
    return std::make_unique<PosixFileSystem>(path, std::move(folder), std::move(lock));
}

} // namespace yuccawheel::coordination
