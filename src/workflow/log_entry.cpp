#include "workflow/log_entry.h"

#include <utility>

namespace yuccawheel::workflow
{

namespace
{

template <std::size_t Kind>
tl::expected<LogEntry, protocol::DecodeError> decodeKind(std::size_t kind, std::string_view body)
{
    if constexpr (Kind == std::variant_size_v<LogEntry>) {
        return tl::make_unexpected(protocol::DecodeError{"unknown kind of log entry"});
    } else {
        if (kind != Kind) {
            return decodeKind<Kind + 1>(kind, body);
        }
        using Body = std::variant_alternative_t<Kind, LogEntry>;
        auto decoded = protocol::decode<Body>(body, protocol::Origin::OwnDisk);
        if (!decoded) {
            return tl::make_unexpected(decoded.error());
        }
        return LogEntry{std::move(*decoded)};
    }
}

} // namespace

std::string_view toString(RunOutcome end)
{
    constexpr std::string_view Names[] = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return Names[static_cast<std::size_t>(end)];
}

// The first byte is the index of the alternative, so the order of the alternatives must not change.
std::string encodeEntry(const LogEntry &entry)
{
    std::string bytes(1, static_cast<char>(entry.index()));
    std::visit([&bytes](const auto &body) { bytes += protocol::encode(body); }, entry);
    return bytes;
}

tl::expected<LogEntry, protocol::DecodeError> decodeEntry(std::string_view bytes)
{
    if (bytes.empty()) {
        return tl::make_unexpected(protocol::DecodeError{"log entry is empty"});
    }
    return decodeKind<0>(static_cast<unsigned char>(bytes.front()), bytes.substr(1));
}

} // namespace yuccawheel::workflow
