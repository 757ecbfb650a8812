#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace yuccawheel::programs::yuccactl
{

/// A submission that has not been acknowledged. Its file lets a repeated command resend the same submission id.
struct SubmissionRecord {
    std::string submission; ///< Random id of 32 hexadecimal digits.
    std::string contentHash;
    std::optional<std::uint64_t> expectedVersion;
};

/// Returns the path of a document's record file: beside the document, or in `stateDir` if set or if the document is
/// `-`.
std::string recordPath(const std::string &document, const std::string &contentHash, const std::string &stateDir);

std::string newSubmissionId();
std::string hashContent(const std::string &content);

/// Returns no record if the file does not exist. The error is a message for the user.
tl::expected<std::optional<SubmissionRecord>, std::string> loadRecord(const std::string &path);
/// Replaces the record file atomically and syncs it. Must be called before the submission is sent.
tl::expected<void, std::string> saveRecord(const std::string &path, const SubmissionRecord &record);
void removeRecord(const std::string &path);

} // namespace yuccawheel::programs::yuccactl
