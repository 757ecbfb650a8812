#pragma once

#include "base/verdict.h"
#include "placement/job.h"

#include <msgpack.hpp>
#include <tl/expected.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <type_traits>

namespace yuccawheel::protocol
{

/// Reason why a payload is not a well-formed message of the expected type.
struct DecodeError {
    std::string message;
};

} // namespace yuccawheel::protocol

/// Encodes an enum as its underlying number. Decoding rejects numbers above `Last`, the last enumerator.
#define YW_MSGPACK_ENUM(Enum, Last)                                                                                    \
    namespace msgpack                                                                                                  \
    {                                                                                                                  \
    MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)                                                              \
    {                                                                                                                  \
        namespace adaptor                                                                                              \
        {                                                                                                              \
        template <>                                                                                                    \
        struct convert<Enum> {                                                                                         \
            const msgpack::object &operator()(const msgpack::object &object, Enum &value) const                        \
            {                                                                                                          \
                const auto number = object.as<std::underlying_type_t<Enum>>();                                         \
                if (number > static_cast<std::underlying_type_t<Enum>>(Last)) {                                        \
                    throw msgpack::type_error();                                                                       \
                }                                                                                                      \
                value = static_cast<Enum>(number);                                                                     \
                return object;                                                                                         \
            }                                                                                                          \
        };                                                                                                             \
        template <>                                                                                                    \
        struct pack<Enum> {                                                                                            \
            template <typename Stream>                                                                                 \
            packer<Stream> &operator()(packer<Stream> &packer, const Enum &value) const                                \
            {                                                                                                          \
                return packer.pack(static_cast<std::underlying_type_t<Enum>>(value));                                  \
            }                                                                                                          \
        };                                                                                                             \
        }                                                                                                              \
    }                                                                                                                  \
    }

/// Encodes a struct of another library as an array of `Count` fields: `Pack` lists them as put(value.field), `Convert`
/// as take(value.field), both in the same order.
#define YW_MSGPACK_STRUCT(Struct, Count, Pack, Convert)                                                                \
    namespace msgpack                                                                                                  \
    {                                                                                                                  \
    MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)                                                              \
    {                                                                                                                  \
        namespace adaptor                                                                                              \
        {                                                                                                              \
        template <>                                                                                                    \
        struct convert<Struct> {                                                                                       \
            const msgpack::object &operator()(const msgpack::object &object, Struct &value) const                      \
            {                                                                                                          \
                if (object.type != msgpack::type::ARRAY || object.via.array.size != (Count)) {                         \
                    throw msgpack::type_error();                                                                       \
                }                                                                                                      \
                const msgpack::object *field = object.via.array.ptr;                                                   \
                const auto take = [&field](auto &target) {                                                             \
                    (field++)->convert(target);                                                                        \
                };                                                                                                     \
                Convert;                                                                                               \
                return object;                                                                                         \
            }                                                                                                          \
        };                                                                                                             \
        template <>                                                                                                    \
        struct pack<Struct> {                                                                                          \
            template <typename Stream>                                                                                 \
            packer<Stream> &operator()(packer<Stream> &packer, const Struct &value) const                              \
            {                                                                                                          \
                packer.pack_array(Count);                                                                              \
                const auto put = [&packer](const auto &source) {                                                       \
                    packer.pack(source);                                                                               \
                };                                                                                                     \
                Pack;                                                                                                  \
                return packer;                                                                                         \
            }                                                                                                          \
        };                                                                                                             \
        }                                                                                                              \
    }                                                                                                                  \
    }

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {
    /// Encodes a duration as its tick count.
    template <typename Rep, typename Period>
    struct convert<std::chrono::duration<Rep, Period>> {
        const msgpack::object &operator()(const msgpack::object &object,
                                          std::chrono::duration<Rep, Period> &value) const
        {
            value = std::chrono::duration<Rep, Period>(object.as<Rep>());
            return object;
        }
    };
    template <typename Rep, typename Period>
    struct pack<std::chrono::duration<Rep, Period>> {
        template <typename Stream>
        packer<Stream> &operator()(packer<Stream> &packer, const std::chrono::duration<Rep, Period> &value) const
        {
            return packer.pack(value.count());
        }
    };
    } // namespace adaptor
}
} // namespace msgpack

YW_MSGPACK_ENUM(yuccawheel::base::Verdict, yuccawheel::base::Verdict::Ran)
YW_MSGPACK_ENUM(yuccawheel::placement::JobKind, yuccawheel::placement::JobKind::Gang)

YW_MSGPACK_STRUCT(yuccawheel::placement::Resources,
                  3,
                  (put(value.milliCpu), put(value.memoryMib), put(value.accelerators)),
                  (take(value.milliCpu), take(value.memoryMib), take(value.accelerators)))
YW_MSGPACK_STRUCT(yuccawheel::placement::TaskId,
                  3,
                  (put(value.job), put(value.index), put(value.attempt)),
                  (take(value.job), take(value.index), take(value.attempt)))
YW_MSGPACK_STRUCT(yuccawheel::placement::TeamQuota,
                  2,
                  (put(value.team), put(value.guaranteed)),
                  (take(value.team), take(value.guaranteed)))
YW_MSGPACK_STRUCT(yuccawheel::placement::JobSpec,
                  14,
                  (put(value.id),
                   put(value.name),
                   put(value.team),
                   put(value.kind),
                   put(value.tasks),
                   put(value.perTask),
                   put(value.declaredRunTime),
                   put(value.priority),
                   put(value.urgent),
                   put(value.deadline),
                   put(value.repeatable),
                   put(value.maxDisruption),
                   put(value.detachedFor),
                   put(value.payload)),
                  (take(value.id),
                   take(value.name),
                   take(value.team),
                   take(value.kind),
                   take(value.tasks),
                   take(value.perTask),
                   take(value.declaredRunTime),
                   take(value.priority),
                   take(value.urgent),
                   take(value.deadline),
                   take(value.repeatable),
                   take(value.maxDisruption),
                   take(value.detachedFor),
                   take(value.payload)))

namespace yuccawheel::protocol
{

template <typename Message>
std::string encode(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/// Source of encoded bytes; selects the limits on what one message can make the unpacker allocate.
enum class Origin : std::uint8_t {
    Network,
    OwnDisk, ///< Already verified by checksum; may be much larger.
};

/// Decodes a payload that must hold exactly one message. Never throws.
template <typename Message>
tl::expected<Message, DecodeError> decode(std::string_view bytes, Origin origin = Origin::Network)
{
    // Each element takes at least one byte, so a declared count above the payload size is rejected before allocation.
    const auto clampToPayload = [&](std::size_t limit) {
        return std::min(limit, bytes.size());
    };
    const std::size_t maxArray = clampToPayload(origin == Origin::Network ? 1U << 16U : 1U << 26U);
    const std::size_t maxMap = clampToPayload(origin == Origin::Network ? 1U << 12U : 1U << 26U);
    const std::size_t maxText = clampToPayload(origin == Origin::Network ? 1U << 23U : 1U << 28U);
    constexpr std::size_t MaxExtension = 1U << 12U;
    constexpr std::size_t MaxDepth = 32;
    const msgpack::unpack_limit limits(maxArray, maxMap, maxText, maxText, MaxExtension, MaxDepth);
    try {
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limits);
        if (offset != bytes.size()) {
            return tl::make_unexpected(DecodeError{"bytes after the message"});
        }
        return handle.get().as<Message>();
    } catch (const std::exception &error) {
        return tl::make_unexpected(DecodeError{error.what()});
    }
}

} // namespace yuccawheel::protocol
