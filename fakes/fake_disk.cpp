#include "fakes/fake_disk.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::fakes
{

using coordination::AppendFile;
using coordination::StorageError;
using coordination::StorageFailure;

class FakeDisk::File : public AppendFile
{
public:
    File(FakeDisk &disk, std::shared_ptr<Inode> inode) : disk_(disk), inode_(std::move(inode))
    {
    }
    StorageResult<void> append(std::string_view data) override
    {
        return disk_.append(*inode_, data);
    }
    StorageResult<void> truncate(std::uint64_t size) override
    {
        return disk_.truncate(*inode_, size);
    }
    StorageResult<void> sync() override
    {
        return disk_.sync(*inode_);
    }

private:
    FakeDisk &disk_;
    std::shared_ptr<Inode> inode_;
};

std::uint64_t FakeDisk::randomBelow(std::uint64_t bound)
{
    return bound == 0 ? 0 : random_() % bound;
}

bool FakeDisk::countOperation()
{
    ++operations_;
    return killAt_ && operations_ > *killAt_;
}

void FakeDisk::setName(const std::string &name, std::shared_ptr<Inode> inode)
{
    if (inode) {
        names_[name] = inode;
    } else {
        names_.erase(name);
    }
    unsyncedNameChanges_.push_back(NameChange{name, std::move(inode)});
}

coordination::StorageResult<std::unique_ptr<AppendFile>> FakeDisk::create(const std::string &name)
{
    const bool killed = countOperation();
    const auto found = names_.find(name);
    if (found != names_.end()) {
        found->second->content.clear();
        found->second->synced = 0;
    } else {
        setName(name, std::make_shared<Inode>());
    }
    if (killed) {
        throw ProcessKilled{};
    }
    return std::make_unique<File>(*this, names_[name]);
}

coordination::StorageResult<std::unique_ptr<AppendFile>> FakeDisk::openAppend(const std::string &name)
{
    const auto found = names_.find(name);
    if (found == names_.end()) {
        return tl::unexpected(StorageError{StorageFailure::NotFound, name});
    }
    return std::make_unique<File>(*this, found->second);
}

coordination::StorageResult<std::string>
FakeDisk::read(const std::string &name, std::uint64_t offset, std::size_t size) const
{
    const auto found = names_.find(name);
    if (found == names_.end()) {
        return tl::unexpected(StorageError{StorageFailure::NotFound, name});
    }
    const std::string &content = found->second->content;
    return offset >= content.size() ? std::string() : content.substr(offset, size);
}

coordination::StorageResult<std::uint64_t> FakeDisk::size(const std::string &name) const
{
    const auto found = names_.find(name);
    if (found == names_.end()) {
        return tl::unexpected(StorageError{StorageFailure::NotFound, name});
    }
    return found->second->content.size();
}

coordination::StorageResult<std::vector<std::string>> FakeDisk::list() const
{
    std::vector<std::string> names;
    for (const auto &[name, inode] : names_) {
        names.push_back(name);
    }
    return names;
}

coordination::StorageResult<void> FakeDisk::rename(const std::string &from, const std::string &to)
{
    const bool killed = countOperation();
    const auto inode = names_.at(from);
    setName(to, inode);
    setName(from, nullptr);
    if (killed) {
        throw ProcessKilled{};
    }
    return {};
}

coordination::StorageResult<void> FakeDisk::remove(const std::string &name)
{
    const bool killed = countOperation();
    setName(name, nullptr);
    if (killed) {
        throw ProcessKilled{};
    }
    return {};
}

coordination::StorageResult<void> FakeDisk::syncFolder()
{
    if (countOperation()) {
        throw ProcessKilled{};
    }
    durableNames_ = names_;
    unsyncedNameChanges_.clear();
    return {};
}

coordination::StorageResult<std::uint64_t> FakeDisk::freeBytes() const
{
    const std::uint64_t used = usedBytes();
    return used >= capacity_ ? 0 : capacity_ - used;
}

std::uint64_t FakeDisk::usedBytes() const
{
    std::uint64_t used = 0;
    for (const auto &[name, inode] : names_) {
        used += inode->content.size();
    }
    return used;
}

coordination::StorageResult<void> FakeDisk::append(Inode &inode, std::string_view data)
{
    if (countOperation()) {
        inode.content.append(data.substr(0, randomBelow(data.size() + 1)));
        throw ProcessKilled{};
    }
    const std::uint64_t used = usedBytes();
    const std::uint64_t available = used >= capacity_ ? 0 : capacity_ - used;
    inode.content.append(data.substr(0, available));
    if (data.size() > available) {
        return tl::unexpected(StorageError{StorageFailure::NoSpace, "fake disk"});
    }
    return {};
}

coordination::StorageResult<void> FakeDisk::truncate(Inode &inode, std::uint64_t size)
{
    if (countOperation()) {
        throw ProcessKilled{};
    }
    inode.content.resize(std::min<std::size_t>(inode.content.size(), size));
    inode.synced = std::min(inode.synced, inode.content.size());
    return {};
}

coordination::StorageResult<void> FakeDisk::sync(Inode &inode)
{
    if (countOperation()) {
        throw ProcessKilled{};
    }
    if (failSyncAt_ && operations_ > *failSyncAt_) {
        return tl::unexpected(StorageError{StorageFailure::SyncFailed, "fake disk"});
    }
    inode.synced = inode.content.size();
    return {};
}

// Any subset of the unsynced name changes may have reached the disk, and a prefix of the unsynced bytes, in which a
// range may read as zeros.
void FakeDisk::losePower()
{
    for (NameChange &change : unsyncedNameChanges_) {
        if (randomBelow(2) == 0) {
            continue;
        }
        if (change.inode) {
            durableNames_[change.name] = change.inode;
        } else {
            durableNames_.erase(change.name);
        }
    }
    unsyncedNameChanges_.clear();
    names_ = durableNames_;
    for (auto &[name, inode] : names_) {
        std::string &content = inode->content;
        content.resize(inode->synced + randomBelow(content.size() - inode->synced + 1));
        if (const std::size_t lost = content.size() - inode->synced; lost > 0 && randomBelow(2) == 0) {
            const std::size_t from = inode->synced + randomBelow(lost);
            std::fill_n(
                content.begin() + static_cast<std::ptrdiff_t>(from), randomBelow(content.size() - from + 1), '\0');
        }
        inode->synced = content.size();
    }
}

FakeDisk FakeDisk::clone() const
{
    FakeDisk copy(1);
    for (const auto &[name, inode] : names_) {
        copy.names_.emplace(name, std::make_shared<Inode>(*inode));
    }
    copy.durableNames_ = copy.names_;
    return copy;
}

void FakeDisk::damage(const std::string &name, std::uint64_t offset)
{
    names_.at(name)->content.at(offset) ^= 0x10;
}

} // namespace yuccawheel::fakes
