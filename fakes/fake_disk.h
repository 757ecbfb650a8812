#pragma once

#include "coordination/file_system.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace yuccawheel::fakes
{

/// Thrown by FakeDisk to simulate that the process is killed.
struct ProcessKilled {
};

/// In-memory folder that distinguishes written from synced data and injects faults.
class FakeDisk : public coordination::FileSystem
{
public:
    template <typename Value>
    using StorageResult = coordination::StorageResult<Value>;

    explicit FakeDisk(std::uint64_t seed) : random_(seed)
    {
    }

    StorageResult<std::unique_ptr<coordination::AppendFile>> create(const std::string &name) override;
    StorageResult<std::unique_ptr<coordination::AppendFile>> openAppend(const std::string &name) override;
    StorageResult<std::string> read(const std::string &name, std::uint64_t offset, std::size_t size) const override;
    StorageResult<std::uint64_t> size(const std::string &name) const override;
    StorageResult<std::vector<std::string>> list() const override;
    StorageResult<void> rename(const std::string &from, const std::string &to) override;
    StorageResult<void> remove(const std::string &name) override;
    StorageResult<void> syncFolder() override;
    StorageResult<std::uint64_t> freeBytes() const override;

    /// Loses a random part of the unsynced bytes and name changes.
    void losePower();
    /// Kills the process during the operation that follows the next `count` ones.
    void killAfter(std::uint64_t count)
    {
        killAt_ = operations_ + count;
    }
    /// Makes every sync fail after the next `count` operations.
    void failSyncAfter(std::uint64_t count)
    {
        failSyncAt_ = operations_ + count;
    }
    void clearFaults()
    {
        killAt_.reset();
        failSyncAt_.reset();
        capacity_ = std::numeric_limits<std::uint64_t>::max();
    }
    void setCapacity(std::uint64_t bytes)
    {
        capacity_ = bytes;
    }
    /// Returns a disk with a copy of the files, all names of which are durable.
    FakeDisk clone() const;
    /// Flips one bit of the byte at `offset` of a file.
    void damage(const std::string &name, std::uint64_t offset);
    std::uint64_t operations() const
    {
        return operations_;
    }
    std::uint64_t usedBytes() const;

private:
    struct Inode {
        std::string content;
        std::size_t synced = 0;
    };
    using Names = std::map<std::string, std::shared_ptr<Inode>>;
    /// Creation, replacement or, without an inode, removal of a name.
    struct NameChange {
        std::string name;
        std::shared_ptr<Inode> inode;
    };
    class File;

    void setName(const std::string &name, std::shared_ptr<Inode> inode);
    /// Counts one operation. Returns whether the process is killed during it.
    bool countOperation();
    StorageResult<void> append(Inode &inode, std::string_view data);
    StorageResult<void> truncate(Inode &inode, std::uint64_t size);
    StorageResult<void> sync(Inode &inode);
    /// Returns a random number in [0, bound), or 0 if `bound` is 0.
    std::uint64_t randomBelow(std::uint64_t bound);

    std::mt19937_64 random_;
    Names names_;
    Names durableNames_;
    std::vector<NameChange> unsyncedNameChanges_;
    std::uint64_t operations_ = 0;
    std::optional<std::uint64_t> killAt_;
    std::optional<std::uint64_t> failSyncAt_;
    std::uint64_t capacity_ = std::numeric_limits<std::uint64_t>::max();
};

} // namespace yuccawheel::fakes
