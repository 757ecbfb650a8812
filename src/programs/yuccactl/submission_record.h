#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace yuccawheel::programs::yuccactl
{

/// A submission that has not been acknowledged. It is kept in a file so that a repeated command resends the same id.
struct SubmissionRecord {
    std::string submission; ///< Random, 32 hexadecimal digits.
    std::string contentHash;
    std::optional<std::uint64_t> expectedVersion;
};

/// Returns the place of a document's record: beside the document, or in the state folder.
std::string recordPath(const std::string &document, const std::string &contentHash, const std::string &stateDir);

std::string newSubmissionId();
std::string hashContent(const std::string &content);

/// Returns nothing if there is no record. The error is a text for the user.
tl::expected<std::optional<SubmissionRecord>, std::string> loadRecord(const std::string &path);
/// Writes and syncs the record before the submission is sent.
tl::expected<void, std::string> saveRecord(const std::string &path, const SubmissionRecord &record);
void removeRecord(const std::string &path);

} // namespace yuccawheel::programs::yuccactl
