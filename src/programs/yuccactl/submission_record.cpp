#include "programs/yuccactl/submission_record.h"

#include "base/scope_guard.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <unistd.h>
#include <xxhash.h>

namespace yuccawheel::programs::yuccactl
{

namespace
{

using nlohmann::json;

constexpr const char *Suffix = ".submission";
constexpr mode_t OwnerOnly = 0600;

std::string errnoMessage(const std::string &path)
{
    return fmt::format("{}: {}", path, std::strerror(errno));
}

bool writeAll(int descriptor, const std::string &text)
{
    for (std::size_t done = 0; done < text.size();) {
        const ssize_t written = write(descriptor, text.data() + done, text.size() - done);
        if (written < 0 && errno != EINTR) {
            return false;
        }
        done += written > 0 ? static_cast<std::size_t>(written) : 0;
    }
    return true;
}

tl::expected<void, std::string> writeSynced(const std::string &path, const std::string &text)
{
    const int descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, OwnerOnly);
    if (descriptor < 0) {
        return tl::unexpected(errnoMessage(path));
    }
    const base::ScopeGuard closer([descriptor] { close(descriptor); });
    if (!writeAll(descriptor, text) || fsync(descriptor) != 0) {
        return tl::unexpected(errnoMessage(path));
    }
    return {};
}

// A rename survives a power failure only after the folder has been synced.
tl::expected<void, std::string> syncParentFolder(const std::string &path)
{
    const auto parent = std::filesystem::path(path).parent_path();
    const std::string folder = parent.empty() ? "." : parent.string();
    const int descriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return tl::unexpected(errnoMessage(folder));
    }
    const base::ScopeGuard closer([descriptor] { close(descriptor); });
    if (fsync(descriptor) != 0) {
        return tl::unexpected(errnoMessage(folder));
    }
    return {};
}

} // namespace

std::string recordPath(const std::string &document, const std::string &contentHash, const std::string &stateDir)
{
    if (document == "-") {
        return (std::filesystem::path(stateDir) / ("stdin-" + contentHash + Suffix)).string();
    }
    if (stateDir.empty()) {
        return document + Suffix;
    }
    const std::string absolutePath = std::filesystem::absolute(document).lexically_normal().string();
    return (std::filesystem::path(stateDir) / (hashContent(absolutePath) + Suffix)).string();
}

std::string newSubmissionId()
{
    std::random_device device;
    std::string id;
    while (id.size() < 32) {
        id += fmt::format("{:08x}", device());
    }
    return id;
}

std::string hashContent(const std::string &content)
{
    return fmt::format("{:016x}", XXH3_64bits(content.data(), content.size()));
}

tl::expected<std::optional<SubmissionRecord>, std::string> loadRecord(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::error_code error;
        if (std::filesystem::exists(path, error) || error) {
            return tl::unexpected(path + ": cannot be read");
        }
        return std::optional<SubmissionRecord>();
    }
    std::stringstream text;
    text << file.rdbuf();
    try {
        const json object = json::parse(text.str());
        SubmissionRecord record;
        record.submission = object.at("submission").get<std::string>();
        record.contentHash = object.at("content_hash").get<std::string>();
        if (object.contains("expected_version")) {
            record.expectedVersion = object.at("expected_version").get<std::uint64_t>();
        }
        return record;
    } catch (const json::exception &exception) {
        return tl::unexpected(fmt::format("{}: not a submission record ({})", path, exception.what()));
    }
}

tl::expected<void, std::string> saveRecord(const std::string &path, const SubmissionRecord &record)
{
    json object{{"submission", record.submission}, {"content_hash", record.contentHash}};
    if (record.expectedVersion) {
        object["expected_version"] = *record.expectedVersion;
    }
    const std::string temporary = path + ".new";
    return writeSynced(temporary, object.dump() + "\n").and_then([&]() -> tl::expected<void, std::string> {
        if (std::rename(temporary.c_str(), path.c_str()) != 0) {
            return tl::unexpected(errnoMessage(path));
        }
        return syncParentFolder(path);
    });
}

void removeRecord(const std::string &path)
{
    std::error_code ignored;
    std::filesystem::remove(path, ignored);
}

} // namespace yuccawheel::programs::yuccactl
