#pragma once

#include "coordination/storage_error.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace yuccawheel::coordination
{

/// A file opened for appending; the destructor closes it.
class AppendFile
{
public:
    virtual ~AppendFile() = default;
    /// Writes all of the data. After an error, the file may hold part of it.
    virtual StorageResult<void> append(std::string_view data) = 0;
    /// Removes all data after the first `size` bytes.
    virtual StorageResult<void> truncate(std::uint64_t size) = 0;
    /// Returns once all appended data is on disk.
    virtual StorageResult<void> sync() = 0;
};

/// The files of one folder. The creation, renaming or removal of a file is durable only after `syncFolder`.
class FileSystem
{
public:
    virtual ~FileSystem() = default;
    /// Creates an empty file, or truncates an existing one.
    virtual StorageResult<std::unique_ptr<AppendFile>> create(const std::string &name) = 0;
    virtual StorageResult<std::unique_ptr<AppendFile>> openAppend(const std::string &name) = 0;
    /// Reads `size` bytes from `offset`, or fewer if the file ends before.
    virtual StorageResult<std::string> read(const std::string &name, std::uint64_t offset, std::size_t size) const = 0;
    virtual StorageResult<std::uint64_t> size(const std::string &name) const = 0;
    virtual StorageResult<std::vector<std::string>> list() const = 0;
    virtual StorageResult<void> rename(const std::string &from, const std::string &to) = 0;
    virtual StorageResult<void> remove(const std::string &name) = 0;
    virtual StorageResult<void> syncFolder() = 0;
    virtual StorageResult<std::uint64_t> freeBytes() const = 0;
};

/// Opens a folder, creating it if needed, and locks it for the lifetime of the returned object. Returns InUse if
/// another process holds the lock.
StorageResult<std::unique_ptr<FileSystem>> openFolder(const std::string &path);

} // namespace yuccawheel::coordination
