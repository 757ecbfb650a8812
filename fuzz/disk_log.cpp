// Fuzzes the recovery of a replica's log folder. The input is the content of the newest segment, either after a valid
// beginning or instead of it. The log is recovered or an error reported, and a second recovery gives the same log.

#include "coordination/file_log_storage.h"
#include "coordination/log_record.h"
#include "fakes/fake_disk.h"
#include "fuzz/target.h"

#include <string>
#include <vector>

using namespace yuccawheel;
using namespace yuccawheel::coordination;

namespace
{

/// Returns a disk with a small valid log, and stores the name of its newest segment in `segment`.
fakes::FakeDisk diskWithValidLog(std::string &segment)
{
    fakes::FakeDisk disk(1);
    FileLogStorage storage(disk);
    fuzz::require(storage.recover().has_value());
    fuzz::require(
        storage.save(HardState{1, {1, 1}, 1, {1, 1}}, {Entry{1, 1, EntryKind::Application, "a"}}).has_value());
    const std::vector<std::string> names = disk.list().value();
    for (const std::string &name : names) {
        segment = name > segment ? name : segment;
    }
    return disk;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    std::string segment;
    fakes::FakeDisk disk = diskWithValidLog(segment);
    const bool keepsValidBeginning = data[0] % 2 == 0;
    auto file = keepsValidBeginning ? disk.openAppend(segment) : disk.create(segment);
    fuzz::require(file.has_value() && (*file)->append(fuzz::view(data + 1, size - 1)).has_value());
    fuzz::require((*file)->sync().has_value() && disk.syncFolder().has_value());

    const auto first = FileLogStorage(disk).recover();
    if (!first) {
        fuzz::require(!first.error().detail.empty());
        return 0;
    }
    const auto second = FileLogStorage(disk).recover();
    fuzz::require(second.has_value() && second->entries == first->entries && second->hardState == first->hardState);
    fuzz::require(!keepsValidBeginning || (!first->entries.empty() && first->entries.front().index == 1));
    return 0;
}
