#include "store/log_entry.h"

namespace yuccawheel::store
{

namespace
{

template <std::size_t Alternative = 0>
tl::expected<LogEntry, protocol::DecodeError> decodeAlternative(std::size_t alternative, std::string_view bytes)
{
    if constexpr (Alternative == std::variant_size_v<LogEntry>) {
        return tl::make_unexpected(protocol::DecodeError{"unknown kind of log entry"});
    } else {
        if (alternative == Alternative) {
            return protocol::decode<std::variant_alternative_t<Alternative, LogEntry>>(bytes, protocol::Origin::OwnDisk)
                .map([](auto entry) { return LogEntry(std::move(entry)); });
        }
        return decodeAlternative<Alternative + 1>(alternative, bytes);
    }
}

} // namespace

// The kind is the entry's index in the variant, so new kinds must be added at the end.
std::string encodeEntry(const LogEntry &entry)
{
    std::string bytes(1, static_cast<char>(entry.index()));
    std::visit([&bytes](const auto &value) { bytes += protocol::encode(value); }, entry);
    return bytes;
}

tl::expected<LogEntry, protocol::DecodeError> decodeEntry(std::string_view bytes)
{
    if (bytes.empty()) {
        return tl::make_unexpected(protocol::DecodeError{"empty log entry"});
    }
    return decodeAlternative(static_cast<unsigned char>(bytes.front()), bytes.substr(1));
}

} // namespace yuccawheel::store
