#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccawheel::coordination
{

enum class StorageFailure : std::uint8_t {
    NoSpace, ///< The disk is full.
    Damaged, ///< Stored bytes do not match their checksums, or files are missing.
    SyncFailed, ///< What is on disk is unknown; the process must end.
    NotFound,
    InUse, ///< Another process holds the folder.
    Failed, ///< Any other error of the file system.
};

constexpr std::string_view toString(StorageFailure failure)
{
    switch (failure) {
    case StorageFailure::NoSpace:
        return "disk full";
    case StorageFailure::Damaged:
        return "damaged file";
    case StorageFailure::SyncFailed:
        return "sync failed";
    case StorageFailure::NotFound:
        return "file not found";
    case StorageFailure::InUse:
        return "folder in use";
    case StorageFailure::Failed:
        return "input or output error";
    }
    return "unknown";
}

struct StorageError {
    StorageFailure failure = StorageFailure::Failed;
    std::string detail; ///< File and place, for operators.
};

template <typename Value>
using StorageResult = tl::expected<Value, StorageError>;

} // namespace yuccawheel::coordination
