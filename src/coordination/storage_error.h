#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccawheel::coordination
{

enum class StorageFailure : std::uint8_t {
    NoSpace, ///< The disk is full, or no file descriptor is left: the call may be repeated.
    Damaged, ///< Stored bytes do not match their checksums, or files are missing.
    SyncFailed, ///< It is unknown which data is on disk, so the process must end.
    NotFound,
    InUse, ///< The folder is locked by another process or already holds a replica.
    Failed, ///< Any other file system error.
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
        return "input/output error";
    }
    return "unknown";
}

struct StorageError {
    StorageFailure failure = StorageFailure::Failed;
    std::string detail; ///< File, position and cause, for operators.
};

template <typename Value>
using StorageResult = tl::expected<Value, StorageError>;

} // namespace yuccawheel::coordination
