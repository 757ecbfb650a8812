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

/// A file open for appending. It is closed on destruction.
class AppendFile
{
public:
    virtual ~AppendFile() = default;
    /// Writes all of the data or returns an error, after which a part of it may be in the file.
    virtual StorageResult<void> append(std::string_view data) = 0;
    /// Returns once everything appended is on disk.
    virtual StorageResult<void> sync() = 0;
};

/// One folder of files. Created, renamed and removed names last only once `syncFolder` has returned.
class FileSystem
{
public:
    virtual ~FileSystem() = default;
    /// Creates an empty file, or empties the one of this name.
    virtual StorageResult<std::unique_ptr<AppendFile>> create(const std::string &name) = 0;
    virtual StorageResult<std::unique_ptr<AppendFile>> openAppend(const std::string &name) = 0;
    /// Reads up to `size` bytes from `offset`; fewer at the end of the file.
    virtual StorageResult<std::string> read(const std::string &name, std::uint64_t offset, std::size_t size) const = 0;
    virtual StorageResult<std::uint64_t> size(const std::string &name) const = 0;
    virtual StorageResult<std::vector<std::string>> list() const = 0;
    virtual StorageResult<void> rename(const std::string &from, const std::string &to) = 0;
    virtual StorageResult<void> remove(const std::string &name) = 0;
    virtual StorageResult<void> syncFolder() = 0;
    virtual StorageResult<std::uint64_t> freeBytes() const = 0;
};

/// Opens a folder of the disk, creating it if needed, and holds a lock on it that ends with the object.
StorageResult<std::unique_ptr<FileSystem>> openFolder(const std::string &path);

} // namespace yuccawheel::coordination
