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

/// Thrown by a FakeDisk in place of the death of the process.
struct ProcessKilled {
};

/// A folder in memory that keeps apart what was written and what was synced, and fails on request.
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

    /// Loses, at random, bytes that were not synced and names whose folder was not.
    void losePower();
    /// Kills the process in the middle of the operation after the next `count` ones.
    void killAfter(std::uint64_t count)
    {
        killAt_ = operations_ + count;
    }
    /// Makes the sync after the next `count` operations fail.
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
    /// Returns a copy with the same files.
    FakeDisk clone() const;
    /// Flips a bit of a file's synced content.
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
    /// One change of a name: it points to the inode, or to none.
    struct NameChange {
        std::string name;
        std::shared_ptr<Inode> inode;
    };
    class File;

    void setName(const std::string &name, std::shared_ptr<Inode> inode);
    bool killsNow();
    StorageResult<void> append(Inode &inode, std::string_view data);
    StorageResult<void> sync(Inode &inode);
    std::uint64_t below(std::uint64_t bound);

    std::mt19937_64 random_;
    Names names_;
    Names durableNames_;
    std::vector<NameChange> pending_;
    std::uint64_t operations_ = 0;
    std::optional<std::uint64_t> killAt_;
    std::optional<std::uint64_t> failSyncAt_;
    std::uint64_t capacity_ = std::numeric_limits<std::uint64_t>::max();
};

} // namespace yuccawheel::fakes
